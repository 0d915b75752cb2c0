/// \file
/// The upstreams to which this box admits requests.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_OWNERSERVICE_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_OWNERSERVICE_H

#include "decisions/process/MoveLog.h"
#include "decisions/version/Assignment.h"
#include "havenstaird/process/UpstreamOwner.h"
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace havenstair {

/// Takes over and gives up upstreams as the assignment says, and passes
/// requests and orders to their owners.
class OwnerService {
public:
  struct Options {
    BoxName m_Self;
    DataCentreName m_DataCentre;
    Duration m_OrderLife = 5s;
    FairQueue::WeightOf m_WeightOf;
    std::function<void(const MoveRecord &)> m_OnMove;
    /// Something that peers must know has changed.
    std::function<void()> m_OnChange;
  };

  OwnerService(EventLoop &Loop, HttpClient &Http, Platform &Service,
               UpstreamDirectory &Directory, Options Opts);

  /// Takes over the upstreams that \p Current assigns to this box, and gives up
  /// all others.
  void follow(const Assignment &Current);
  /// The platform's list has changed: adds and removes upstreams.
  void followList();

  void admit(const RequestId &Id, const ForwardedRequest &Request,
             const AnswerSinkPtr &Sink);
  void cancel(const UpstreamName &Upstream, const RequestId &Id);
  void order(const Move &Wanted);
  void writerMovedOn(const BoxName &Writer);
  /// Former owners with unsettled orders to any engine.
  std::set<BoxName> formerWriters() const;
  void chargeElsewhere(const std::map<GroupName, double> &Served);
  std::map<GroupName, double> takeServed();
  void tick();

  /// Returns the digests of the owned upstreams.
  std::vector<UpstreamDigest> digests();
  DemandByArtifact demand() const;
  std::size_t active() const;
  std::vector<const UpstreamOwner *> owned() const;

private:
  UpstreamOwner *ownerFor(const UpstreamName &Upstream);

  EventLoop &m_Loop;
  HttpClient &m_Http;
  Platform &m_Platform;
  UpstreamDirectory &m_Directory;
  Options m_Opts;
  Assignment m_Assignment;
  std::map<UpstreamName, std::unique_ptr<UpstreamOwner>> m_Owners;
  std::uint64_t m_DigestSequence = 0;
};

} // namespace havenstair

#endif
