#include "gateway/process/StreamOriginExchange.h"

#include "decisions/process/StreamHolders.h"
#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

/// Boxes that remember a stream besides the one that began it.
constexpr std::size_t Copies = 3;

/// Time to wait for other boxes, which answer within a few milliseconds unless
/// they have stopped.
constexpr Duration AnswerTimeout = 150ms;

/// The same for a leaf, whose relay asks others and the store.
constexpr Duration RelayTimeout = 600ms;

/// Time to wait for the store, which names all versions.
constexpr Duration KeyReadTimeout = 1s;

/// Time after which streams begin at a new version that the store has not
/// taken, though others could run them: longer than it takes when it is slow.
constexpr Duration StorePatience = 5s;

/// Interval at which it is looked at what the store has to be told.
constexpr Duration RefreshInterval = 1s;

/// Interval at which the list's age is looked at: small beside its bound, so
/// that no gap appears between two looks.
constexpr Duration ConfirmInterval = 250ms;

/// Adds to \p Known what another box knows. \returns whether that tells how the
/// stream began.
bool merge(StreamAnswerFrame &Known, const StreamAnswerFrame &Other) {
  const auto &Mine = Known.m_Stream.m_Origin;
  const auto &Theirs = Other.m_Stream.m_Origin;
  Known.m_Stream.m_Contradicted = Known.m_Stream.m_Contradicted ||
                                  Other.m_Stream.m_Contradicted ||
                                  (Mine && Theirs && *Mine != *Theirs);
  if (!Mine)
    Known.m_Stream.m_Origin = Theirs;
  Known.m_Several =
      Known.m_Several || Other.m_Several ||
      (Known.m_Only && Other.m_Only && *Known.m_Only != *Other.m_Only);
  if (!Known.m_Only)
    Known.m_Only = Other.m_Only;
  return Known.m_Stream.m_Origin || Known.m_Stream.m_Contradicted;
}

FoundOrigin conclude(const StreamAnswerFrame &Known, OriginSource Source) {
  if (Known.m_Stream.m_Contradicted)
    return {.m_Source = OriginSource::Contradicted};
  if (const auto &Origin = Known.m_Stream.m_Origin)
    return {.m_Source = Source,
            .m_Origin = Origin,
            .m_Software = Origin->m_Software};
  if (Known.m_Only && !Known.m_Several)
    return {.m_Source = OriginSource::OnlyVersion,
            .m_Origin = std::nullopt,
            .m_Software = *Known.m_Only};
  return {};
}

} // namespace

StreamOriginExchange::StreamOriginExchange(EventLoop &Loop, Fleet &Boxes,
                                           CoordinationStore &Store,
                                           DecisionLog &Log,
                                           const Options &Opts, Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_Log(Log),
      m_Marks(Store, Log, Opts.m_Prefix),
      m_Records(Store, Log,
                {.m_Prefix = Opts.m_Prefix, .m_FirstStart = Opts.m_FirstStart},
                m_Versions),
      m_Process(Opts.m_Process),
      m_Stored(
          Loop, Store, Log,
          {.m_Prefix = Opts.m_StreamPrefix, .m_Process = Opts.m_Process},
          {.m_Needed = [this](const std::string &Service,
                              TimePoint Now) { return several(Service, Now); },
           .m_AnyNeeded =
               [this](TimePoint Now) {
                 return knowsWholeList() && m_Versions.anySeveral(Now);
               },
           .m_Writers =
               [this] {
                 return std::max(m_Fleet.linkedRelays().size() + 1,
                                 m_Fleet.topology().relays().size());
               }}),
      m_Hooks(std::move(Callbacks)),
      m_RefreshTimer(Loop.every(RefreshInterval, [this] { refresh(); })),
      m_ConfirmTimer(Loop.every(ConfirmInterval, [this] { confirmList(); })) {}

void StreamOriginExchange::onListChanged(const InstanceList &List) {
  m_Versions.update(List, EventLoop::now());
  refresh();
}

void StreamOriginExchange::entriesChanged(
    const std::map<std::string, StoreItem> &Items, const StoreRevision &At) {
  m_Marks.entriesChanged(Items);
  m_Records.entriesChanged(Items, At, EventLoop::now());
  m_Stored.observeEra(At.m_Era);
}

void StreamOriginExchange::refresh() {
  const TimePoint Now = EventLoop::now();
  confirmList();
  if (m_Hooks.m_IsWriter())
    m_Marks.refresh(m_Versions.servicesWithSeveral(Now), Now);
  if (knowsWholeList())
    m_Records.refresh(Now);
  m_Stored.refresh(Now);
}

bool StreamOriginExchange::several(const std::string &Service,
                                   TimePoint Now) const {
  return m_Versions.versionsOf(Service, Now).m_Several;
}

/// The patience does not hold beside a first version: streams that began at
/// another one, at a box that the store does not name, would be taken for its.
bool StreamOriginExchange::mayBegin(const std::string &Service,
                                    const SoftwareVersion &Software,
                                    TimePoint Now) const {
  const auto First = m_Records.firstOf(Service);
  const bool Stored = m_Records.names(Service, Software) &&
                      (First == Software || m_Stored.announced(Now));
  return Stored || (!First && m_Versions.listedFor(Service, Software, Now) >
                                  StorePatience);
}

/// A leaf knows some of the upstreams only.
bool StreamOriginExchange::knowsWholeList() const {
  return m_Fleet.topology().relay();
}

void StreamOriginExchange::confirmList() {
  if (knowsWholeList())
    m_Versions.confirm(m_Hooks.m_ListConfirmedAt());
}

StreamAnswerFrame StreamOriginExchange::known(const std::string &Attempt,
                                              const std::string &Service,
                                              TimePoint Now) const {
  const VersionHistory::Versions Versions = m_Versions.versionsOf(Service, Now);
  StreamAnswerFrame Result{.m_Several = Versions.m_Several};
  if (!Attempt.empty())
    Result.m_Stream = m_Streams.find(Attempt, Now);
  if (knowsWholeList() && !mayLackVersions(Service, Now))
    Result.m_Only = Versions.m_Only;
  return Result;
}

/// Whether this box has read the key of \p Service since it has known the list.
bool StreamOriginExchange::knowsKey(const std::string &Service,
                                    TimePoint Now) const {
  const auto Since = m_Versions.listKnownSince(Now);
  return Since && m_Records.knownSince(Service, *Since);
}

/// Whether there may be, or have been, versions of \p Service that this box
/// does not know: its list is old, or it has not read what the store names
/// since it knows the list.
bool StreamOriginExchange::mayLackVersions(const std::string &Service,
                                           TimePoint Now) const {
  return !certain(Service, Now) &&
         (m_Marks.marked(Service) || !knowsKey(Service, Now));
}

/// Whether no other box can know of another version of \p Service.
bool StreamOriginExchange::certain(const std::string &Service,
                                   TimePoint Now) const {
  return knowsWholeList() && m_Versions.versionsOf(Service, Now).m_Certain;
}

std::vector<BoxName>
StreamOriginExchange::holdersOf(const std::string &Attempt) const {
  const bool Flat = m_Fleet.topology().flat();
  const DataCentreName &Own = m_Fleet.dataCentre();
  std::vector<HolderCandidate> All;
  std::vector<HolderCandidate> Near;
  for (const BoxName &Box : m_Fleet.linkedRelays()) {
    if (!m_Fleet.understands(Box, StreamProtocol))
      continue;
    All.push_back({.m_Box = Box, .m_DataCentre = m_Fleet.dataCentreOf(Box)});
    if (All.back().m_DataCentre == Own)
      Near.push_back(All.back());
  }
  const bool OnlyNear = !Flat && !Near.empty();
  return chooseStreamHolders(OnlyNear ? std::move(Near) : std::move(All),
                             Attempt, Copies);
}

std::vector<BoxName> StreamOriginExchange::boxesToAsk() const {
  std::vector<BoxName> Result = m_Fleet.linkedRelays();
  std::erase_if(Result, [&](const BoxName &Box) {
    return !m_Fleet.understands(Box, StreamProtocol);
  });
  return Result;
}

void StreamOriginExchange::record(const std::string &Attempt,
                                  const StreamOrigin &Origin, Duration Left) {
  const TimePoint Now = EventLoop::now();
  const BegunStream Stream{
      .m_Attempt = Attempt, .m_Origin = Origin, .m_Left = Left};
  m_Streams.record(Attempt, Origin, Left, Now);
  // One box writes each stream to the store: leaves are too many.
  bool Store = !knowsWholeList();
  if (!Store)
    m_Stored.record(Stream, Now);
  const std::vector<BoxName> Holders = holdersOf(Attempt);
  if (Holders.empty())
    return;
  for (const BoxName &Box : Holders)
    m_Begun[{Box, std::exchange(Store, false)}].m_Streams.push_back(Stream);
  m_TellTimer = m_Loop.after(0us, [this] { tellBegun(); });
}

void StreamOriginExchange::tellBegun() {
  for (auto &[To, Frame] : std::exchange(m_Begun, {})) {
    Frame.m_Store = To.second;
    m_Fleet.send(To.first, Frame);
  }
}

void StreamOriginExchange::find(const std::string &Attempt,
                                const std::string &Service, Done Callback) {
  const TimePoint Now = EventLoop::now();
  confirmList();
  StreamAnswerFrame Known = known(Attempt, Service, Now);
  const FoundOrigin Found = conclude(Known, OriginSource::Own);
  const std::vector<BoxName> Boxes = boxesToAsk();
  if (Found.m_Source == OriginSource::Own ||
      Found.m_Source == OriginSource::Contradicted)
    return Callback(Found);
  const StreamQueryFrame Query{.m_Attempt = Attempt, .m_Service = Service};
  if (Boxes.empty())
    return end({.m_Query = Query,
                .m_Found = Known,
                .m_Source = OriginSource::Own,
                .m_Answered = {},
                .m_Done = std::move(Callback),
                .m_AskedAt = Now});
  ask(Query, std::move(Known), Boxes, std::move(Callback));
}

void StreamOriginExchange::ask(StreamQueryFrame Query, StreamAnswerFrame Known,
                               const std::vector<BoxName> &Boxes,
                               Done Callback) {
  const std::uint64_t Id = ++m_LastId;
  Query.m_Id = Id;
  Query.m_AskOthers = !knowsWholeList();
  m_Searches[Id] = {
      .m_Inquiry = {.m_Query = Query,
                    .m_Found = std::move(Known),
                    .m_Source = OriginSource::Box,
                    .m_Answered = {},
                    .m_Done = std::move(Callback),
                    .m_AskedAt = EventLoop::now()},
      .m_Waiting = {Boxes.begin(), Boxes.end()},
      .m_Timer = m_Loop.after(knowsWholeList() ? AnswerTimeout : RelayTimeout,
                              [this, Id] { finish(Id); })};
  // Any relay may stand still, and what one says by itself may be old.
  for (const BoxName &Box : Boxes)
    m_Fleet.send(Box, Query);
}

void StreamOriginExchange::finish(std::uint64_t Id) {
  const auto Found = m_Searches.find(Id);
  if (Found == m_Searches.end())
    return;
  // The search's timer may own the function that runs now.
  const Search Ended = std::move(Found->second);
  m_Searches.erase(Found);
  end(Ended.m_Inquiry);
}

/// A list is not known to be old at once, and other versions may have begun
/// streams meanwhile: decides by what the store names now.
void StreamOriginExchange::end(Inquiry About) {
  const FoundOrigin Recorded =
      conclude({.m_Stream = About.m_Found.m_Stream}, About.m_Source);
  if (Recorded.m_Source != OriginSource::Unknown || !knowsWholeList())
    return decide(std::move(About));
  const std::uint64_t Id = ++m_LastId;
  m_KeyReads[Id] = {.m_Inquiry = std::move(About),
                    .m_Timer = m_Loop.after(
                        KeyReadTimeout, [this, Id] { onKeyReadEnded(Id); })};
  m_Records.readAfresh([this, Id] { onKeyRead(Id); });
}

/// The list may have become known only while the key was read.
void StreamOriginExchange::onKeyRead(std::uint64_t Id) {
  const auto Found = m_KeyReads.find(Id);
  if (Found == m_KeyReads.end())
    return;
  const Inquiry &About = Found->second.m_Inquiry;
  const TimePoint Now = EventLoop::now();
  confirmList();
  if (keyReadSince(About) && m_Versions.listKnownSince(Now) &&
      !knowsKey(About.m_Query.m_Service, Now))
    return m_Records.readAfresh([this, Id] { onKeyReadEnded(Id); });
  onKeyReadEnded(Id);
}

void StreamOriginExchange::onKeyReadEnded(std::uint64_t Id) {
  auto Ended = m_KeyReads.extract(Id);
  if (!Ended.empty())
    decide(std::move(Ended.mapped().m_Inquiry));
}

/// Whether this box knows what the store named after \p About was asked.
bool StreamOriginExchange::keyReadSince(const Inquiry &About) const {
  return m_Records.knownSince(About.m_Query.m_Service, About.m_AskedAt);
}

/// Concludes from what boxes know, or else from what the store does.
void StreamOriginExchange::decide(Inquiry About) {
  confirmList();
  const TimePoint Now = EventLoop::now();
  const auto Since = m_Versions.listKnownSince(Now);
  const std::string &Service = About.m_Query.m_Service;
  StreamAnswerFrame &Known = About.m_Found;
  const bool KeyRead = keyReadSince(About);
  const bool Lacking = !KeyRead || mayLackVersions(Service, Now);
  merge(Known, known({}, Service, Now));
  Known.m_Several = Known.m_Several || (Lacking && knowsWholeList());
  FoundOrigin Found = conclude(Known, About.m_Source);
  m_Log.write("stream_origin",
              {{"attempt", About.m_Query.m_Attempt},
               {"service", Service},
               {"by", originSourceName(Found.m_Source)},
               {"only", Known.m_Only ? Json(Known.m_Only->str()) : Json()},
               {"several", Known.m_Several},
               {"lacking", Lacking},
               {"list_known_ms", Since ? Json((Now - *Since) / 1ms) : Json()},
               {"key_read", KeyRead}});
  Found.m_StoreAway =
      Found.m_Source == OriginSource::Unknown && knowsWholeList() && !KeyRead;
  if (Found.m_StoreAway || Found.m_Source != OriginSource::Unknown ||
      About.m_Query.m_Attempt.empty() || !knowsWholeList())
    return About.m_Done(Found);
  m_Stored.find(About.m_Query.m_Attempt,
                [this, About](const StreamOriginStore::Found &Stored) {
                  const FoundOrigin Result = concludeFromStore(About, Stored);
                  m_Log.write("stream_origin_stored",
                              {{"attempt", About.m_Query.m_Attempt},
                               {"by", originSourceName(Result.m_Source)},
                               {"read", Stored.m_Read},
                               {"writers", Stored.m_Writers},
                               {"answered", About.m_Answered.size()}});
                  About.m_Done(Result);
                });
}

/// Processes that are named in the store give first events at a version that
/// came beside another; others only if no upstream of the first one can. Where
/// all named and all linked ones live and do not remember a stream, it began at
/// the first version. Leaves are named nowhere.
FoundOrigin StreamOriginExchange::concludeFromStore(
    const Inquiry &About, const StreamOriginStore::Found &Stored) const {
  FoundOrigin Found =
      conclude({.m_Stream = Stored.m_Stream}, OriginSource::Store);
  Found.m_StoreAway = !Stored.m_Read;
  const auto First = m_Records.firstOf(About.m_Query.m_Service);
  const auto Answered = [&](const BoxName &Box) {
    return About.m_Answered.contains(Box);
  };
  const auto Lives = [&](const std::string &Process) {
    return Process == m_Process || Answered(BoxName(Process));
  };
  const std::vector<BoxName> Linked = m_Fleet.linkedRelays();
  if (Found.m_Source != OriginSource::Unknown || !First || !Stored.m_Read ||
      !knowsKey(About.m_Query.m_Service, EventLoop::now()) ||
      !m_Fleet.topology().flat() ||
      !std::all_of(Stored.m_Writers.begin(), Stored.m_Writers.end(), Lives) ||
      !std::all_of(Linked.begin(), Linked.end(), Answered))
    return Found;
  return {.m_Source = OriginSource::FirstVersion,
          .m_Origin = std::nullopt,
          .m_Software = *First};
}

void StreamOriginExchange::linkDown(const BoxName &Box) {
  std::vector<std::uint64_t> Answered;
  for (auto &[Id, Each] : m_Searches)
    if (Each.m_Waiting.erase(Box) > 0 && Each.m_Waiting.empty())
      Answered.push_back(Id);
  for (const std::uint64_t Id : Answered)
    finish(Id);
}

void StreamOriginExchange::onFrame(const BoxName &From,
                                   const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Content) {
        if constexpr (requires { receive(From, Content); })
          receive(From, Content);
      },
      Frame);
}

void StreamOriginExchange::receive(const BoxName & /*From*/,
                                   const StreamsBegunFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  for (const BegunStream &Each : Frame.m_Streams) {
    m_Streams.record(Each.m_Attempt, Each.m_Origin, Each.m_Left, Now);
    if (Frame.m_Store)
      m_Stored.record(Each, Now);
  }
}

void StreamOriginExchange::receive(const BoxName &From,
                                   const StreamQueryFrame &Frame) {
  const auto Answer = [this, From, Id = Frame.m_Id](StreamAnswerFrame Known) {
    Known.m_Id = Id;
    m_Fleet.send(From, Known);
  };
  confirmList();
  const StreamAnswerFrame Known =
      known(Frame.m_Attempt, Frame.m_Service, EventLoop::now());
  const bool Recorded =
      Known.m_Stream.m_Origin || Known.m_Stream.m_Contradicted;
  if (!Frame.m_AskOthers || Recorded)
    return Answer(Known);
  std::vector<BoxName> Others = boxesToAsk();
  std::erase(Others, From);
  const Done Found = [Answer](const FoundOrigin &Origin) {
    StreamAnswerFrame Result{
        .m_Stream = {.m_Origin = Origin.m_Origin,
                     .m_Contradicted =
                         Origin.m_Source == OriginSource::Contradicted},
        .m_Several = Origin.m_Source == OriginSource::Unknown};
    if (Origin.m_Source == OriginSource::OnlyVersion)
      Result.m_Only = Origin.m_Software;
    Answer(Result);
  };
  if (Others.empty())
    return end({.m_Query = Frame,
                .m_Found = Known,
                .m_Source = OriginSource::Own,
                .m_Answered = {},
                .m_Done = Found,
                .m_AskedAt = EventLoop::now()});
  ask(Frame, Known, Others, Found);
}

void StreamOriginExchange::receive(const BoxName &From,
                                   const StreamAnswerFrame &Frame) {
  const auto Found = m_Searches.find(Frame.m_Id);
  if (Found == m_Searches.end())
    return;
  Search &Pending = Found->second;
  const bool Known = merge(Pending.m_Inquiry.m_Found, Frame);
  Pending.m_Inquiry.m_Answered.insert(From);
  Pending.m_Waiting.erase(From);
  if (Known || Pending.m_Waiting.empty())
    finish(Frame.m_Id);
}

} // namespace havenstair
