/// \file
/// One upstream to which this box admits requests: its queue, its running calls
/// and, for an engine that the box owns, its orders.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_UPSTREAMOWNER_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_UPSTREAMOWNER_H

#include "decisions/process/EngineOrders.h"
#include "decisions/process/Placement.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/request/UpstreamAdmission.h"
#include "havenstaird/request/AttemptRunner.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/process/EngineClient.h"
#include "wire/process/PlatformClient.h"
#include <functional>
#include <map>
#include <memory>

namespace havenstair {

/// Returns the id by which a box knows an admitted request, made of its origin
/// and attempt.
RequestId admissionId(const BoxName &Origin, AttemptId Attempt);

/// Admits requests to an upstream as its owner, or as the stand-in for an owner
/// that is out of reach.
class UpstreamOwner {
public:
  struct Options {
    UpstreamSpec m_Spec;
    BoxName m_Self;
    Duration m_OrderLife = 5s;
    FairQueue::WeightOf m_WeightOf;
    /// Key of the engine's journal in the platform's service.
    std::string m_JournalKey;
    /// Returns whether the upstream may take new requests now.
    std::function<bool()> m_MayTakeWork;
    /// The set of artifacts that serve requests has changed.
    std::function<void()> m_OnChange;
  };

  UpstreamOwner(EventLoop &Loop, HttpClient &Http, Platform &Service,
                Options Opts);
  ~UpstreamOwner();

  /// Becomes the owner under \p Token, or a stand-in if that is 0.
  void own(FencingToken Token);
  bool owned() const { return m_Token != 0; }
  FencingToken token() const { return m_Token; }

  void admit(const RequestId &Id, const ForwardedRequest &Request,
             AnswerSinkPtr Sink);
  void cancel(const RequestId &Id);

  /// Orders a move. \returns the id of the order; empty when it is not
  /// possible.
  OrderId order(const Move &Wanted);
  void writerMovedOn(const BoxName &Writer);
  std::set<BoxName> formerWriters() const { return m_Orders.formerWriters(); }
  void chargeElsewhere(const GroupName &Group, double Cost);
  std::map<GroupName, double> takeServed() { return m_Admission.takeServed(); }
  /// Handles reports, lost orders and the queue; to be called regularly.
  void tick();

  UpstreamDigest digest() const;
  /// Returns the number of requests that run or wait for each artifact.
  DemandByArtifact demand() const;
  const MemoryLedger &ledger() const { return m_Orders.ledger(); }
  std::size_t active() const { return m_Calls.size(); }
  const UpstreamSpec &spec() const { return m_Opts.m_Spec; }

private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void perform(const AdmissionActions &Actions);
  void performOrders(const EngineActions &Actions);
  void startCall(const CallPtr &Item, Duration Waited);
  HttpCall upstreamCall(const CallPtr &Item);
  void onHead(const CallPtr &Item, int Status, const HttpHeaders &Headers);
  void onBytes(const CallPtr &Item, std::string_view Bytes);
  void onEnd(const CallPtr &Item, HttpEnd End);
  Failure failureFor(const Call &Item, HttpEnd End) const;
  void finish(const CallPtr &Item, std::optional<Failure> Reason);
  bool serves(const ForwardedRequest &Request) const;
  void readReport();
  void readJournal();
  void writeJournal(const OrderJournal &Journal);
  void confirmJournal(const std::string &Written);
  void journalConfirmed(const std::string &Written, const PlatformRead &Read);
  void sendOrder(const EngineOrder &Order);
  void reportChange();

  EventLoop &m_Loop;
  HttpClient &m_Http;
  Platform &m_Platform;
  Options m_Opts;
  EngineClient m_Engine;
  EngineOrders m_Orders;
  UpstreamAdmission m_Admission;
  FencingToken m_Token = 0;
  std::uint64_t m_Generation = 0;
  PlatformIndex m_JournalIndex = 0;
  std::map<RequestId, CallPtr> m_Calls;
  std::set<ArtifactName> m_LastServing;
  bool m_LastReady = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
