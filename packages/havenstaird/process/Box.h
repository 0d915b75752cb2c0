/// \file
/// The process of one box, made of its components.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_BOX_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_BOX_H

#include "decisions/process/GroupLimiter.h"
#include "decisions/process/MoveLog.h"
#include "decisions/process/RequestLog.h"
#include "havenstaird/process/DigestExchange.h"
#include "havenstaird/process/Membership.h"
#include "havenstaird/process/Metrics.h"
#include "havenstaird/process/OwnerService.h"
#include "havenstaird/process/PeerForwarder.h"
#include "havenstaird/process/Planner.h"
#include "havenstaird/process/Settings.h"
#include "havenstaird/request/CallerApi.h"
#include "havenstaird/request/ConcurrencyGate.h"
#include "havenstaird/request/Dispatcher.h"
#include "havenstaird/request/KeyRouter.h"
#include "havenstaird/request/KeyedRunner.h"
#include "havenstaird/version/AdminApi.h"
#include "havenstaird/version/TableSync.h"
#include "wire/process/PeerMesh.h"
#include <memory>

namespace havenstair {

/// Returns a name for one start of \p Box. No two processes share a name, so
/// that actions of an earlier process are not attributed to this one.
BoxName makeIncarnation(const BoxName &Box);
/// Returns the name of the box without the suffix of its start.
std::string boxOfIncarnation(const BoxName &Incarnation);

/// All components of `havenstaird`, on one event loop.
class Box {
public:
  /// \p OnStopped runs when a planned stop is complete.
  /// \throws std::runtime_error when an address cannot be bound.
  Box(EventLoop &Loop, Settings Given, std::function<void()> OnStopped);
  ~Box();

  /// Begins the planned stop: hands over ownership and finishes running
  /// requests.
  void stop();

  Endpoint callers() const { return m_CallerServer.endpoint(); }
  Endpoint operators() const { return m_OperatorServer.endpoint(); }
  Endpoint peers() const { return m_Mesh.endpoint(); }
  const BoxName &name() const { return m_Self; }

private:
  // Options and hooks of the components.
  PeerMesh::Options meshOptions() const;
  PeerMesh::Hooks meshHooks();
  Membership::Options membershipOptions();
  OwnerService::Options ownerOptions();
  TableSync::Options tableOptions();
  Dispatcher::Options dispatcherOptions();
  DispatchView dispatchView();
  KeyRouter::Options keyRouterOptions();
  Planner::Options plannerOptions();
  DigestExchange::Options exchangeOptions();
  ConcurrencyGate::Options gateOptions();
  CallerApi::Options callerOptions();
  AdminApi::Options adminOptions();
  HttpServer::Options serverOptions(const Endpoint &Listen) const;

  // Requests.
  std::function<void()> startRequest(ForwardedRequest Request,
                                     AnswerSinkPtr Sink);
  std::function<void()> runForwarded(const BoxName &Origin,
                                     const ForwardedRequest &Request,
                                     AnswerSinkPtr Sink);
  std::optional<BoxName> admitterOf(const UpstreamName &Upstream) const;
  BoxName homeOf(const GroupName &Group) const;
  int dataCentreShare(int Limit) const;
  std::optional<BoxName> spillTo(const ForwardedRequest &Request) const;

  // Peers.
  void peerUp(const BoxName &Peer, const DataCentreName &DataCentre);
  void peerDown(const BoxName &Peer);
  void onFrame(const BoxName &Peer, PeerFrame Frame);
  bool sendFrame(const BoxName &To, const PeerFrame &Frame);
  void dropSilentPeers();

  // Events of the components.
  void assignmentChanged(const Assignment &Current);
  void upstreamsChanged(const UpstreamList &List);
  void tableChanged();
  void recordMove(const MoveRecord &Record);
  void planOrder(const Move &Wanted);
  void updateShare();
  void releaseFormerWriters();
  void changed();

  Capacity engineCapacity() const;

  // Stopping.
  void considerExit();
  bool idle() const;

  void tick();
  void slowTick();
  static double randomUnit();

  EventLoop &m_Loop;
  Settings m_Settings;
  BoxName m_Self;
  Metrics m_Metrics;
  HttpClient m_Http;
  PlatformClient m_Platform;
  UpstreamDirectory m_Directory;
  GroupLimiter m_Limiter{GroupLimiter::Options{}};
  MoveLog m_Moves;
  RequestLog m_Requests;
  bool m_DigestWanted = false;
  bool m_Stopping = false;
  TimePoint m_StopBegan;
  std::function<void()> m_OnStopped;

  PeerMesh m_Mesh;
  PeerForwarder m_Forwarder;
  TableSync m_Table;
  OwnerService m_Owners;
  Dispatcher m_Dispatcher;
  KeyedRunner m_Keyed;
  KeyRouter m_KeyRouter;
  ConcurrencyGate m_Gate;
  CallerApi m_CallerApi;
  AdminApi m_AdminApi;
  HttpServer m_CallerServer;
  HttpServer m_OperatorServer;
  std::unique_ptr<Membership> m_Membership;
  Planner m_Planner;
  DigestExchange m_Exchange;
  Timer m_Tick;
  Timer m_SlowTick;
  Timer m_DigestTimer;
};

} // namespace havenstair

#endif
