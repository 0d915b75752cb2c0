#include "standin/StandinPlatform.h"

#include <algorithm>
#include <websocketpp/base64/base64.hpp>

namespace havenstair {

namespace {

const std::string KeyPrefix = "/v1/kv/";
const std::string ListPrefix = "/v1/health/service/";
constexpr Duration TickEvery = 20ms;

Duration parseMillis(const std::string &Text) {
  return std::chrono::milliseconds(std::strtoll(Text.c_str(), nullptr, 10));
}

} // namespace

StandinPlatform::StandinPlatform(EventLoop &Loop, const Endpoint &Listen)
    : m_Loop(Loop),
      m_Server(Loop, {.m_Listen = Listen, .m_Limits = {.m_MaxBody = 8 << 20}},
               [this](const HttpExchangePtr &Exchange) { handle(Exchange); }),
      m_Tick(Loop.every(TickEvery, [this] { tick(); })) {}

/// Faults: "down" answers nothing, "slow" answers after a second, and
/// "lose_answers" makes the next writes take effect without an answer.
void StandinPlatform::fault(const HttpExchangePtr &Exchange) {
  const Json Body = parseJson(Exchange->body());
  m_Fault = field<std::string>(Body, "fault");
  m_FaultsLeft = fieldOr<std::uint64_t>(Body, "count", 0);
  if (m_Fault == "down")
    m_Waiting.clear();
  Exchange->reply(200, {}, "{}");
}

void StandinPlatform::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->path() == "/standin/fault")
    return fault(Exchange);
  if (Exchange->path() == "/standin/upstreams")
    return setList(Exchange);
  if (Exchange->path() == "/standin/calls")
    return Exchange->reply(200, {}, std::to_string(m_Calls));
  ++m_Calls;
  if (m_Fault == "down")
    return Exchange->abort();
  if (m_Fault != "slow")
    return answer(Exchange);
  auto Held = std::make_shared<Timer>();
  *Held = m_Loop.after(1s, [this, Exchange, Held] {
    answer(Exchange);
    m_Loop.defer([Held] { *Held = Timer(); });
  });
}

void StandinPlatform::answer(const HttpExchangePtr &Exchange) {
  const std::string &Path = Exchange->path();
  m_LoseAnswer = m_Fault == "lose_answers" && m_FaultsLeft > 0 &&
                 Exchange->method() == "PUT";
  if (m_LoseAnswer)
    --m_FaultsLeft;
  if (Path.starts_with(ListPrefix) || Exchange->method() == "GET")
    return replyOrWait(Exchange);
  if (Path == "/v1/txn")
    return transact(Exchange);
  if (Path.starts_with("/v1/session/"))
    return session(Exchange);
  write(Exchange);
}

void StandinPlatform::reply(const HttpExchangePtr &Exchange, int Status,
                            const std::string &Body) {
  if (m_LoseAnswer)
    return Exchange->abort();
  Exchange->reply(Status,
                  {{"X-Consul-Index", std::to_string(indexOf(*Exchange))},
                   {"Content-Type", "application/json"}},
                  Body);
}

bool StandinPlatform::isRecursive(const HttpExchange &Exchange) const {
  return Exchange.query().find("recurse") != std::string::npos;
}

/// The index of what the read would show.
std::uint64_t StandinPlatform::indexOf(const HttpExchange &Exchange) const {
  const std::string &Path = Exchange.path();
  if (Path.starts_with(ListPrefix))
    return m_ListIndex;
  if (!Path.starts_with(KeyPrefix))
    return m_Index;
  const std::string Key = Path.substr(KeyPrefix.size());
  const bool Recursive = isRecursive(Exchange);
  std::uint64_t Highest = 1;
  const auto Matches = [&](const std::string &Name) {
    return Recursive ? Name.starts_with(Key) : Name == Key;
  };
  for (const auto &[Name, Each] : m_Entries)
    if (Matches(Name))
      Highest = std::max(Highest, Each.m_Index);
  for (const auto &[Name, Index] : m_Removed)
    if (Matches(Name))
      Highest = std::max(Highest, Index);
  return Highest;
}

void StandinPlatform::replyOrWait(const HttpExchangePtr &Exchange) {
  const std::string After = Exchange->queryValue("index");
  const std::uint64_t Index = std::strtoull(After.c_str(), nullptr, 10);
  if (Index != 0 && indexOf(*Exchange) <= Index) {
    const Duration Wait = parseMillis(Exchange->queryValue("wait"));
    m_Waiting.push_back({Exchange, Index, EventLoop::now() + Wait});
    return;
  }
  read(Exchange);
}

void StandinPlatform::read(const HttpExchangePtr &Exchange) {
  if (Exchange->path().starts_with(ListPrefix))
    return list(Exchange);
  const std::string Key = Exchange->path().substr(KeyPrefix.size());
  const bool Recursive = isRecursive(*Exchange);
  Json Found = Json::array();
  for (const auto &[Name, Each] : m_Entries) {
    const bool Matches = Recursive ? Name.starts_with(Key) : Name == Key;
    if (Matches)
      Found.push_back({{"Key", Name},
                       {"Value", websocketpp::base64_encode(Each.m_Value)},
                       {"ModifyIndex", Each.m_Index},
                       {"Session", Each.m_Session}});
  }
  reply(Exchange, Found.empty() ? 404 : 200, dumpJson(Found));
}

void StandinPlatform::write(const HttpExchangePtr &Exchange) {
  const std::string Key = Exchange->path().substr(KeyPrefix.size());
  const std::string Session = Exchange->queryValue("acquire");
  Entry &Target = m_Entries[Key];
  const bool Held = !Target.m_Session.empty() && Target.m_Session != Session;
  if (m_Sessions.count(Session) == 0 || Held) {
    if (Target.m_Index == 0)
      m_Entries.erase(Key);
    return reply(Exchange, 200, "false");
  }
  Target = {
      .m_Value = Exchange->body(), .m_Index = ++m_Index, .m_Session = Session};
  reply(Exchange, 200, "true");
  wakeWaiting();
}

void StandinPlatform::transact(const HttpExchangePtr &Exchange) {
  const Json Operations = parseJson(Exchange->body());
  for (const Json &Each : Operations) {
    const Json &Swap = Each.at("KV");
    const auto Found = m_Entries.find(Swap.at("Key").get<std::string>());
    const std::uint64_t Has =
        Found == m_Entries.end() ? 0 : Found->second.m_Index;
    if (Has != Swap.at("Index").get<std::uint64_t>())
      return reply(Exchange, 409, R"({"Errors":[{"What":"index is stale"}]})");
  }
  ++m_Index;
  for (const Json &Each : Operations) {
    const Json &Swap = Each.at("KV");
    Entry &Target = m_Entries[Swap.at("Key").get<std::string>()];
    Target.m_Value =
        websocketpp::base64_decode(Swap.at("Value").get<std::string>());
    Target.m_Index = m_Index;
  }
  reply(Exchange, 200, R"({"Results":[]})");
  wakeWaiting();
}

void StandinPlatform::session(const HttpExchangePtr &Exchange) {
  const std::string &Path = Exchange->path();
  if (Path == "/v1/session/create") {
    const Json Body = parseJson(Exchange->body());
    const std::string Id = "session-" + std::to_string(++m_Index);
    const Duration Life = parseMillis(field<std::string>(Body, "TTL"));
    m_Sessions[Id] = {Life, EventLoop::now() + Life};
    return reply(Exchange, 200, dumpJson({{"ID", Id}}));
  }
  const std::string Id = Path.substr(Path.rfind('/') + 1);
  const auto Found = m_Sessions.find(Id);
  if (Path.starts_with("/v1/session/destroy/")) {
    endSession(Id);
    return reply(Exchange, 200, "true");
  }
  if (Found == m_Sessions.end())
    return reply(Exchange, 404, "{}");
  Found->second.m_Expires = EventLoop::now() + Found->second.m_TimeToLive;
  reply(Exchange, 200, "{}");
}

void StandinPlatform::endSession(const std::string &Id) {
  m_Sessions.erase(Id);
  std::vector<std::string> Gone;
  for (const auto &[Name, Each] : m_Entries)
    if (Each.m_Session == Id)
      Gone.push_back(Name);
  for (const std::string &Name : Gone) {
    m_Entries.erase(Name);
    m_Removed[Name] = ++m_Index;
  }
  wakeWaiting();
}

void StandinPlatform::list(const HttpExchangePtr &Exchange) {
  const std::string DataCentre = Exchange->queryValue("dc");
  Json Found = Json::array();
  for (const Json &Each : m_Upstreams)
    if (Each.at("Node").at("Datacenter") == DataCentre)
      Found.push_back(Each);
  reply(Exchange, 200, dumpJson(Found));
}

void StandinPlatform::setList(const HttpExchangePtr &Exchange) {
  m_Upstreams = parseJson(Exchange->body());
  m_ListIndex = ++m_Index;
  Exchange->reply(200, {}, "{}");
  wakeWaiting();
}

void StandinPlatform::wakeWaiting() {
  std::list<Waiting> Ready;
  for (auto At = m_Waiting.begin(); At != m_Waiting.end();) {
    const auto Next = std::next(At);
    const bool Risen = !At->m_Exchange->open() ||
                       indexOf(*At->m_Exchange) > At->m_After ||
                       EventLoop::now() >= At->m_Until;
    if (Risen)
      Ready.splice(Ready.end(), m_Waiting, At);
    At = Next;
  }
  m_LoseAnswer = false;
  for (const Waiting &Each : Ready)
    if (Each.m_Exchange->open())
      read(Each.m_Exchange);
}

/// A service that is down lets no lease lapse: its clock of leases stands
/// still, as after a restart of the real one.
void StandinPlatform::tick() {
  if (m_Fault == "down") {
    for (auto &[Id, Each] : m_Sessions)
      Each.m_Expires += TickEvery;
    return;
  }
  std::vector<std::string> Lapsed;
  for (const auto &[Id, Each] : m_Sessions)
    if (EventLoop::now() >= Each.m_Expires)
      Lapsed.push_back(Id);
  for (const std::string &Id : Lapsed)
    endSession(Id);
  wakeWaiting();
}

} // namespace havenstair
