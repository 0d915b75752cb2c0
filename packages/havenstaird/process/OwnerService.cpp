#include "havenstaird/process/OwnerService.h"

#include "havenstaird/common/Log.h"

namespace havenstair {

OwnerService::OwnerService(EventLoop &Loop, HttpClient &Http, Platform &Service,
                           UpstreamDirectory &Directory, Options Opts)
    : m_Loop(Loop), m_Http(Http), m_Platform(Service), m_Directory(Directory),
      m_Opts(std::move(Opts)) {}

UpstreamOwner *OwnerService::ownerFor(const UpstreamName &Upstream) {
  if (const auto Found = m_Owners.find(Upstream); Found != m_Owners.end())
    return Found->second.get();
  const UpstreamSpec *Spec = m_Directory.find(Upstream);
  if (Spec == nullptr)
    return nullptr;
  UpstreamOwner::Options Opts;
  Opts.m_Spec = *Spec;
  Opts.m_Self = m_Opts.m_Self;
  Opts.m_OrderLife = m_Opts.m_OrderLife;
  Opts.m_WeightOf = m_Opts.m_WeightOf;
  Opts.m_JournalKey =
      "havenstair/journal/" + m_Opts.m_DataCentre.str() + "/" + Upstream.str();
  Opts.m_MayTakeWork = [this, Upstream] {
    return m_Directory.mayTakeWork(Upstream);
  };
  Opts.m_OnChange = m_Opts.m_OnChange;
  auto Made = std::make_unique<UpstreamOwner>(m_Loop, m_Http, m_Platform,
                                              std::move(Opts));
  return m_Owners.emplace(Upstream, std::move(Made)).first->second.get();
}

void OwnerService::follow(const Assignment &Current) {
  m_Assignment = Current;
  for (const auto &[Upstream, Box] : Current.m_OwnerOf) {
    const bool Mine = Box == m_Opts.m_Self;
    UpstreamOwner *Owner = Mine ? ownerFor(Upstream) : nullptr;
    if (Mine && Owner != nullptr && !Owner->owned()) {
      logInfo(LogPart::Owner, "Took over " + Upstream.str() +
                                  " by assignment " +
                                  std::to_string(Current.m_Version) + ".");
      Owner->own(Current.m_Version);
    }
  }
  for (const auto &[Upstream, Owner] : m_Owners) {
    if (!Owner->owned() || Current.ownerOf(Upstream) == m_Opts.m_Self)
      continue;
    logInfo(LogPart::Owner, "Gave up " + Upstream.str() + ".");
    // Requests that run or wait here continue to their end: that two boxes
    // admit to one upstream for a while can only cost time.
    Owner->own(0);
  }
}

void OwnerService::followList() {
  std::erase_if(m_Owners, [&](const auto &Item) {
    const UpstreamSpec *Spec = m_Directory.find(Item.first);
    return Spec == nullptr && Item.second->active() == 0;
  });
  follow(m_Assignment);
}

void OwnerService::admit(const RequestId &Id, const ForwardedRequest &Request,
                         const AnswerSinkPtr &Sink) {
  UpstreamOwner *Owner = ownerFor(Request.m_Upstream);
  if (Owner == nullptr) {
    Sink->failed({.m_Kind = ErrorKind::NoUpstream, .m_RetryAfter = 1s});
    return;
  }
  Owner->admit(Id, Request, Sink);
}

void OwnerService::cancel(const UpstreamName &Upstream, const RequestId &Id) {
  if (const auto Found = m_Owners.find(Upstream); Found != m_Owners.end())
    Found->second->cancel(Id);
}

void OwnerService::order(const Move &Wanted) {
  const auto Found = m_Owners.find(Wanted.m_Upstream);
  const bool Mine = Found != m_Owners.end() && Found->second->owned();
  if (!Mine)
    return;
  const OrderId Id = Found->second->order(Wanted);
  if (Id.empty())
    return;
  m_Opts.m_OnMove({.m_Id = Id.str(),
                   .m_Move = Wanted,
                   .m_OrderedBy = m_Opts.m_Self,
                   .m_At = EventLoop::wallMillis()});
}

void OwnerService::writerMovedOn(const BoxName &Writer) {
  for (const auto &[Upstream, Owner] : m_Owners)
    Owner->writerMovedOn(Writer);
}

std::set<BoxName> OwnerService::formerWriters() const {
  std::set<BoxName> All;
  for (const auto &[Upstream, Owner] : m_Owners)
    All.merge(Owner->formerWriters());
  return All;
}

void OwnerService::chargeElsewhere(const std::map<GroupName, double> &Served) {
  for (const auto &[Group, Cost] : Served)
    for (const auto &[Upstream, Owner] : m_Owners)
      Owner->chargeElsewhere(Group, Cost);
}

std::map<GroupName, double> OwnerService::takeServed() {
  std::map<GroupName, double> Sum;
  for (const auto &[Upstream, Owner] : m_Owners)
    for (const auto &[Group, Cost] : Owner->takeServed())
      Sum[Group] += Cost;
  return Sum;
}

void OwnerService::tick() {
  for (const auto &[Upstream, Owner] : m_Owners)
    Owner->tick();
}

std::vector<UpstreamDigest> OwnerService::digests() {
  ++m_DigestSequence;
  std::vector<UpstreamDigest> Result;
  for (const auto &[Upstream, Owner] : m_Owners) {
    if (!Owner->owned())
      continue;
    Result.push_back(Owner->digest());
    Result.back().m_Sequence = m_DigestSequence;
  }
  return Result;
}

DemandByArtifact OwnerService::demand() const {
  DemandByArtifact Sum;
  for (const auto &[Upstream, Owner] : m_Owners)
    for (const auto &[Artifact, Count] : Owner->demand())
      Sum[Artifact] += Count;
  return Sum;
}

std::size_t OwnerService::active() const {
  std::size_t Sum = 0;
  for (const auto &[Upstream, Owner] : m_Owners)
    Sum += Owner->active();
  return Sum;
}

std::vector<const UpstreamOwner *> OwnerService::owned() const {
  std::vector<const UpstreamOwner *> Result;
  for (const auto &[Upstream, Owner] : m_Owners)
    if (Owner->owned())
      Result.push_back(Owner.get());
  return Result;
}

} // namespace havenstair
