#include "standin/StandinStore.h"

#include "platform/Base64.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

constexpr Duration TickEvery = 20ms;

std::uint64_t number(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

StandinStore::StandinStore(EventLoop &Loop)
    : m_Server(
          Loop,
          {.m_Listen = {"127.0.0.1", 0}, .m_Limits = {.m_MaxBody = 8 << 20}},
          [this](const HttpExchangePtr &Exchange) { handle(Exchange); }) {
  m_Timer = Loop.every(TickEvery, [this] { tick(); });
}

void StandinStore::put(const std::string &Key, const std::string &Value) {
  writeOutside({.m_Key = Key, .m_Value = Value});
}

void StandinStore::remove(const std::string &Key) {
  writeOutside({.m_Key = Key, .m_Value = std::nullopt});
}

void StandinStore::writeOutside(const OutsideWrite &Write) {
  // Nobody writes again what it has replaced since.
  m_Lost.remove_if(
      [&](const OutsideWrite &Each) { return Each.m_Key == Write.m_Key; });
  m_SinceCopy.push_back(Write);
  Item Next;
  if (Write.m_Value)
    Next.m_Value = platform::encodeBase64(*Write.m_Value);
  change(Write.m_Key, Write.m_Value ? &Next : nullptr);
  wake(EventLoop::now());
}

void StandinStore::keepCopy() {
  m_Copy = {.m_Items = m_Items,
            .m_Leases = m_Leases,
            .m_Revision = m_Revision,
            .m_NextLease = m_NextLease};
  m_SinceCopy.clear();
}

void StandinStore::holdLeases(bool Held) {
  m_LeasesHeld = Held;
  renewLeases(EventLoop::now());
}

void StandinStore::renewLeases(TimePoint Now) {
  for (auto &[Id, Each] : m_Leases)
    Each.m_Ends = Now + Each.m_TimeToLive;
}

void StandinStore::restore(Duration RewriteAfter) {
  const TimePoint Now = EventLoop::now();
  m_Items = m_Copy.m_Items;
  m_Leases = m_Copy.m_Leases;
  renewLeases(Now);
  m_Revision = m_Copy.m_Revision;
  m_NextLease = m_Copy.m_NextLease;
  while (!m_History.empty() && m_History.back().m_Revision > m_Revision)
    m_History.pop_back();
  // Everyone writes again what holds now, not each step to it.
  for (const OutsideWrite &Each : std::exchange(m_SinceCopy, {})) {
    m_Lost.remove_if(
        [&](const OutsideWrite &Other) { return Other.m_Key == Each.m_Key; });
    m_Lost.push_back(Each);
  }
  m_RewriteAt = Now + RewriteAfter;
  if (m_Era)
    ++*m_Era;
  cutWatches();
}

void StandinStore::rewrite(TimePoint Now) {
  if (Now < m_RewriteAt)
    return;
  while (!m_Lost.empty()) {
    const OutsideWrite Next = m_Lost.front();
    m_Lost.pop_front();
    writeOutside(Next);
  }
}

void StandinStore::cutWatches() {
  for (Watch &Each : std::exchange(m_Watches, {}))
    Each.m_Exchange->abort();
}

std::string StandinStore::value(const std::string &Key) const {
  const auto Found = m_Items.find(Key);
  return Found == m_Items.end() ? ""
                                : platform::decodeBase64(Found->second.m_Value);
}

std::optional<std::string>
StandinStore::firstValue(const std::string &Prefix) const {
  const auto Found = m_Items.lower_bound(Prefix);
  if (Found == m_Items.end() || !Found->first.starts_with(Prefix))
    return std::nullopt;
  return platform::decodeBase64(Found->second.m_Value);
}

bool StandinStore::mentions(const std::string &Text) const {
  return std::any_of(m_Items.begin(), m_Items.end(), [&](const auto &Each) {
    return platform::decodeBase64(Each.second.m_Value).find(Text) !=
           std::string::npos;
  });
}

std::size_t StandinStore::count(const std::string &Prefix) const {
  return static_cast<std::size_t>(
      std::count_if(m_Items.begin(), m_Items.end(), [&](const auto &Each) {
        return Each.first.starts_with(Prefix);
      }));
}

void StandinStore::forgetHistory() {
  m_History.clear();
  m_Forgotten = m_Revision;
  cutWatches();
}

void StandinStore::change(const std::string &Key, const Item *To) {
  ++m_Revision;
  Change News{.m_Key = Key, .m_Revision = m_Revision, .m_Gone = To == nullptr};
  if (To == nullptr) {
    m_Items.erase(Key);
  } else {
    News.m_Value = To->m_Value;
    m_Items[Key] = *To;
    m_Items[Key].m_Revision = m_Revision;
  }
  m_History.push_back(std::move(News));
}

void StandinStore::answer(const HttpExchangePtr &Exchange, int Status,
                          const Json &Body) {
  if (m_Fault == Fault::LosesAnswer && Exchange->method() == "POST") {
    m_Fault = Fault::None;
    return Exchange->abort();
  }
  reply(Exchange, Status, dumpJson(Body));
}

void StandinStore::reply(const HttpExchangePtr &Exchange, int Status,
                         const std::string &Body) const {
  HttpHeaders Headers{{"Content-Type", "application/json"}};
  if (m_Era)
    Headers.push_back({"Store-Era", std::to_string(*m_Era)});
  Exchange->reply(Status, Headers, Body);
}

void StandinStore::handle(const HttpExchangePtr &Exchange) {
  ++m_Calls;
  if (m_Fault == Fault::Refuses)
    return reply(Exchange, 503, "");
  if (m_Fault == Fault::Silent) {
    m_Unanswered.push_back(Exchange);
    return;
  }
  const std::string &Path = Exchange->path();
  const std::string Id = Path.substr(Path.rfind('/') + 1);
  if (Path == "/v1/kv-range")
    return range(Exchange);
  if (Path == "/v1/kv-watch")
    return watch(Exchange);
  if (Path == "/v1/kv-txn")
    return transact(Exchange);
  if (Path == "/v1/kv-lease")
    return grant(Exchange);
  if (Path.starts_with("/v1/kv-keep/"))
    return keep(Exchange, Id);
  if (Path.starts_with("/v1/kv-lease-end/"))
    return endLease(Exchange, Id);
  reply(Exchange, 404, "");
}

void StandinStore::range(const HttpExchangePtr &Exchange) {
  const std::string Prefix = Exchange->queryValue("pathPrefix");
  const std::string After = Exchange->queryValue("after");
  ++m_Reads[Prefix];
  Json Items = Json::array();
  bool More = false;
  for (auto Next = After.empty() ? m_Items.lower_bound(Prefix)
                                 : m_Items.upper_bound(After);
       Next != m_Items.end() && Next->first.starts_with(Prefix); ++Next) {
    const auto &[Key, Each] = *Next;
    More = Items.size() == m_PageSize;
    if (More)
      break;
    Items.push_back({{"privateKey", Key},
                     {"value", Each.m_Value},
                     {"revision", Each.m_Revision},
                     {"lease", Each.m_Lease}});
  }
  answer(Exchange, 200,
         {{"items", std::move(Items)}, {"more", More}, {"at", m_Revision}});
}

std::size_t StandinStore::watches(const std::string &Prefix) const {
  return static_cast<std::size_t>(
      std::count_if(m_Watches.begin(), m_Watches.end(), [&](const Watch &Each) {
        return Each.m_Prefix == Prefix && Each.m_Exchange->open();
      }));
}

Json StandinStore::changes(const std::string &Prefix,
                           std::uint64_t After) const {
  Json Result = Json::array();
  const auto First =
      std::upper_bound(m_History.begin(), m_History.end(), After,
                       [](std::uint64_t Value, const Change &Each) {
                         return Value < Each.m_Revision;
                       });
  for (auto Next = First; Next != m_History.end(); ++Next) {
    const Change &Each = *Next;
    if (!Each.m_Key.starts_with(Prefix))
      continue;
    Json News{{"privateKey", Each.m_Key}, {"revision", Each.m_Revision}};
    if (Each.m_Gone)
      News["gone"] = true;
    else
      News["value"] = Each.m_Value;
    Result.push_back(std::move(News));
  }
  return Result;
}

void StandinStore::watch(const HttpExchangePtr &Exchange) {
  const std::uint64_t After = number(Exchange->queryValue("after"));
  if (After < m_Forgotten || After > m_Revision)
    return reply(Exchange, 410, "");
  const TimePoint Now = EventLoop::now();
  m_Watches.push_back({.m_Exchange = Exchange,
                       .m_Prefix = Exchange->queryValue("pathPrefix"),
                       .m_After = After,
                       .m_Ends = Now + std::chrono::milliseconds(number(
                                           Exchange->queryValue("waitMs")))});
  wake(Now);
}

bool StandinStore::silenceWatch(const std::string &Prefix) {
  const auto Found =
      std::find_if(m_Watches.begin(), m_Watches.end(),
                   [&](const Watch &Each) { return Each.m_Prefix == Prefix; });
  if (Found == m_Watches.end())
    return false;
  m_Unanswered.push_back(Found->m_Exchange);
  m_Watches.erase(Found);
  return true;
}

void StandinStore::wake(TimePoint Now) {
  if (m_Fault != Fault::None && m_Fault != Fault::LosesAnswer)
    return;
  for (auto Each = m_Watches.begin(); Each != m_Watches.end();) {
    Json Events = changes(Each->m_Prefix, Each->m_After);
    if (Events.empty() && Now < Each->m_Ends) {
      ++Each;
      continue;
    }
    if (Events.empty())
      ++m_WaitedOut[Each->m_Prefix];
    answer(Each->m_Exchange, 200,
           {{"events", std::move(Events)}, {"at", m_Revision}});
    Each = m_Watches.erase(Each);
  }
}

void StandinStore::transact(const HttpExchangePtr &Exchange) {
  const Json Body = parseJson(Exchange->body());
  Json Others = Json::array();
  for (const Json &Each : Body.at("expectedCount")) {
    const auto Found = m_Items.find(Each.at("privateKey"));
    const std::uint64_t Revision =
        Found == m_Items.end() ? 0 : Found->second.m_Revision;
    if (Revision != Each.at("revision").get<std::uint64_t>())
      Others.push_back(
          {{"privateKey", Each.at("privateKey")}, {"revision", Revision}});
  }
  if (!Others.empty())
    return answer(Exchange, 412, {{"items", std::move(Others)}});
  for (const Json &Each : Body.at("put")) {
    const auto Lease = Each.at("lease").get<std::uint64_t>();
    if (Lease != 0 && !m_Leases.contains(Lease))
      return answer(Exchange, 404, Json::object());
  }
  for (const Json &Each : Body.at("put")) {
    Item Next{.m_Value = Each.at("value"),
              .m_Lease = Each.at("lease").get<std::uint64_t>()};
    if (m_Rewrite)
      Next.m_Value = platform::encodeBase64(m_Rewrite(
          Each.at("privateKey"), platform::decodeBase64(Next.m_Value)));
    change(Each.at("privateKey"), &Next);
  }
  for (const Json &Each : Body.at("removals"))
    change(Each, nullptr);
  answer(Exchange, 200, {{"revision", m_Revision}});
  wake(EventLoop::now());
}

void StandinStore::grant(const HttpExchangePtr &Exchange) {
  const Json Body = parseJson(Exchange->body());
  const auto Millis = Body.at("ttl_ms").get<std::int64_t>();
  const std::uint64_t Id = m_NextLease++;
  const Duration Time = std::chrono::milliseconds(Millis);
  m_Leases[Id] = {.m_TimeToLive = Time, .m_Ends = EventLoop::now() + Time};
  answer(Exchange, 200, {{"lease", Id}, {"ttl_ms", Millis}});
}

void StandinStore::keep(const HttpExchangePtr &Exchange,
                        const std::string &Id) {
  const auto Found = m_Leases.find(number(Id));
  if (Found == m_Leases.end())
    return answer(Exchange, 404, Json::object());
  Found->second.m_Ends = EventLoop::now() + Found->second.m_TimeToLive;
  answer(Exchange, 200, {{"ttl_ms", Found->second.m_TimeToLive / 1ms}});
}

void StandinStore::endLease(const HttpExchangePtr &Exchange,
                            const std::string &Id) {
  dropLease(number(Id));
  answer(Exchange, 200, Json::object());
  wake(EventLoop::now());
}

void StandinStore::dropLease(std::uint64_t Id) {
  m_Leases.erase(Id);
  std::list<std::string> Gone;
  for (const auto &[Key, Each] : m_Items)
    if (Each.m_Lease == Id && Id != 0)
      Gone.push_back(Key);
  for (const std::string &Key : Gone)
    change(Key, nullptr);
}

void StandinStore::tick() {
  const TimePoint Now = EventLoop::now();
  std::list<std::uint64_t> Ended;
  for (const auto &[Id, Each] : m_Leases)
    if (Now >= Each.m_Ends && !m_LeasesHeld)
      Ended.push_back(Id);
  for (std::uint64_t Id : Ended)
    dropLease(Id);
  rewrite(Now);
  wake(Now);
}

} // namespace havenstair
