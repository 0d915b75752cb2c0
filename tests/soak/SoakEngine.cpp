#include "soak/SoakEngine.h"

#include "soak/CrashingCallers.h"
#include "soak/SoakConfig.h"
#include "soak/StreamText.h"
#include "wire/common/Json.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace havenstair {

namespace {

/// \returns whether a part of \p Prompt but the last ends engines.
bool holdsBadPart(const std::string &Prompt) {
  const std::size_t Last = Prompt.rfind(',');
  return Last != std::string::npos &&
         Prompt.substr(0, Last).find(CrashingCallers::BadPart) !=
             std::string::npos;
}

constexpr Duration TickEvery = 50ms;
constexpr Duration EventGap = 20ms;
constexpr int NotFound = 404;
constexpr int Misdirected = 421;
constexpr int Full = 503;

std::string chunk(const std::string &Text) {
  char Size[24];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

} // namespace

/// One request that runs.
struct SoakEngine::Run {
  Request m_Asked;
  Connection m_To;
  std::string m_Signature;
  int m_Life = 0;
  int m_Next = 1;
  int m_Last = 1;
  int m_BreakAt = 0; ///< Event before which the stream is cut; zero for none.
};

SoakEngine::SoakEngine(EventLoop &Loop, StandinStore &Store, SoakOracle &Oracle,
                       Options Opts)
    : m_Loop(Loop), m_Store(Store), m_Oracle(Oracle), m_Opts(std::move(Opts)),
      m_Random(m_Opts.m_Seed),
      m_Runner(Loop, [this](const Request &Asked,
                            const Connection &To) { take(Asked, To); }),
      m_Link(Loop, {"127.0.0.1", 0}, m_Runner.endpoint()) {
  if (m_Opts.m_Shelf)
    m_Shelf.emplace(*m_Opts.m_Shelf);
  takeName();
  m_Tick = Loop.every(TickEvery, [this] {
    if (m_Shelf && m_Shelf->advance(EventLoop::now()) && m_Listed)
      publish();
  });
  if (m_Opts.m_Starts)
    publish();
  else
    goAway();
}

int SoakEngine::draw(int Least, int Most) {
  return std::uniform_int_distribution<int>(Least, Most)(m_Random);
}

void SoakEngine::takeName() {
  m_Id = m_Opts.m_Name + "-" + std::to_string(++m_Lives);
  m_StartTime = EventLoop::wallMillis();
  if (m_PlaysVersions)
    drawVersion();
}

void SoakEngine::drawVersion() {
  constexpr int Versions = 3;
  m_Version = "v" + std::to_string(draw(1, Versions));
}

void SoakEngine::playVersions() {
  m_PlaysVersions = true;
  drawVersion();
  publish();
}

void SoakEngine::publish() {
  const TimePoint Now = EventLoop::now();
  Json Entry{
      {"service", m_Opts.m_Service},
      {"address", m_Link.endpoint().str()},
      {"zone", m_Opts.m_DataCentre},
      {"slots", m_Opts.m_Slots},
      {"version", m_Version},
      {"state", m_Draining ? "draining" : "ready"},
      {"born", m_StartTime},
      {"coldRemainingMs", std::max<std::int64_t>(0, (m_ColdUntil - Now) / 1ms)},
      {"sequenceNumber", m_Shelf ? m_Shelf->taken() : 0}};
  if (m_Shelf)
    Entry["modelList"] = m_Shelf->models();
  m_Listed = true;
  m_Store.put("servers/" + m_Id, dumpJson(Entry));
  if (m_Draining)
    m_Oracle.serverLeaves(m_Id, Now);
  else
    m_Oracle.serverServes(m_Opts.m_Service, m_Version, m_Id, Now);
}

void SoakEngine::lapse() {
  m_Listed = false;
  m_Store.remove("servers/" + m_Id);
  m_Oracle.serverLeaves(m_Id, EventLoop::now());
}

void SoakEngine::leave(bool Says) {
  if (m_Withholding)
    return m_Oracle.routing().engineLeaves(m_Id, EventLoop::now());
  m_Draining = true;
  if (Says)
    publish();
  else
    lapse();
}

/// The process ends and says nothing; it is back after some seconds, under its
/// id or a new one.
void SoakEngine::crash(const std::string &Body) {
  constexpr int LeastAwayMs = 300;
  constexpr int MostAwayMs = 3000;
  if (m_Down)
    return;
  m_Oracle.crashes().ended(Body, EventLoop::now());
  const bool SameId = draw(0, 1) == 0;
  m_Down = true;
  m_Link.setListening(false);
  m_BackTimer =
      m_Loop.after(std::chrono::milliseconds(draw(LeastAwayMs, MostAwayMs)),
                   [this, SameId] { SameId ? restart(0us) : comeBack(); });
}

/// As crash(), but it is back under its id.
void SoakEngine::fall(Duration Away) {
  m_Brittle->forget();
  if (std::exchange(m_Down, true))
    return;
  m_Oracle.brittle().fell(m_Id, EventLoop::now());
  m_BackTimer = m_Loop.after(Away, [this] { restart(0us); });
  // The request that it turns away comes over one of the connections that end.
  m_Loop.defer([this] { m_Link.setListening(!m_Down); });
}

void SoakEngine::sayBrittle(int PerS) {
  m_Brittle.emplace(PerS, EventLoop::now());
}

void SoakEngine::sayBrittleNoMore() { m_Brittle.reset(); }

int SoakEngine::room() const {
  return m_Brittle ? m_Brittle->room(m_Opts.m_Slots, EventLoop::now())
                   : m_Opts.m_Slots;
}

void SoakEngine::noteTurnedAway(const Request &Asked) {
  constexpr int LeastAwayMs = 2000;
  constexpr int MostAwayMs = 5000;
  const TimePoint Now = EventLoop::now();
  m_Oracle.turnedAway(Asked.header("x-attempt-id"), m_Id, Now);
  if (m_Brittle->turnedAway(Now))
    fall(std::chrono::milliseconds(draw(LeastAwayMs, MostAwayMs)));
}

void SoakEngine::restart(Duration Cold) {
  const TimePoint Now = EventLoop::now();
  m_BackTimer = Timer();
  m_Down = false;
  m_Link.setListening(true);
  ++m_Lives;
  m_Active = 0;
  m_LimitPerSecond.reset();
  m_SaysLeaving = false;
  m_RetryAfter = 0us;
  // A process that starts is not leaving, whatever the one before did.
  m_Draining = false;
  m_Timers.clear();
  if (m_Endings)
    m_Endings->forget();
  m_StartTime = std::max(m_StartTime + 1, EventLoop::wallMillis());
  m_ColdUntil = Now + Cold;
  if (m_Shelf)
    m_Shelf->forget();
  m_Oracle.orders().forgot(m_Id);
  m_Oracle.words().startedAgain(m_Id);
  m_Oracle.sound().startedAgain(m_Id, Now);
  m_Oracle.routing().engineCold(m_Id, Now, m_ColdUntil);
  m_Link.resetOpen();
  if (m_Listed)
    publish();
}

void SoakEngine::comeBack() {
  if (m_Listed)
    lapse();
  m_Draining = false;
  takeName();
  restart(0us);
  publish();
}

void SoakEngine::startAs(const std::string &Version) {
  m_Version = Version;
  comeBack();
}

void SoakEngine::goAway() {
  if (m_Listed)
    lapse();
  m_Down = true;
  m_Link.setListening(false);
}

void SoakEngine::losePower(Duration Away, Duration Cold) {
  goAway();
  m_BackTimer = m_Loop.after(Away, [this, Cold] {
    if (m_Shelf)
      m_Shelf->replace();
    takeName();
    restart(Cold);
    publish();
  });
}

void SoakEngine::later(Duration Delay, std::function<void()> Call) {
  const std::uint64_t Number = m_NextTimer++;
  m_Timers[Number] =
      m_Loop.after(Delay, [this, Number, Call = std::move(Call)] {
        // The call may restart the engine, which drops all timers.
        m_Loop.defer([this, Number] { m_Timers.erase(Number); });
        Call();
      });
}

std::string SoakEngine::head(const Request &Of, int Status,
                             const std::string &More) const {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Text\r\nX-Attempt-Id: " + Of.header("x-attempt-id") + "\r\n" + More;
}

/// Header fields with what it says of itself in the answer to \p Of.
std::string SoakEngine::words(const Request &Of, bool TurnedAway) const {
  const Duration After = TurnedAway ? m_RetryAfter : 0us;
  m_Oracle.said({.m_Id = Of.header("x-attempt-id"),
                 .m_Engine = m_Id,
                 .m_LimitPerSecond = m_LimitPerSecond,
                 .m_Leaving = m_SaysLeaving,
                 .m_RetryAfter = After,
                 .m_At = EventLoop::now()});
  std::string Result;
  if (m_Silent)
    return Result;
  if (m_LimitPerSecond)
    Result += "Server-Limit: " + std::to_string(*m_LimitPerSecond) + "\r\n";
  if (m_SaysLeaving)
    Result += "Server-Leaving: 1\r\n";
  if (m_Brittle)
    Result +=
        "Server-Brittle: " + std::to_string(m_Brittle->perSecond()) + "\r\n";
  if (After > 0us)
    Result += "Retry-After: " + std::to_string(inSeconds(After)) + "\r\n";
  return Result;
}

void SoakEngine::refuse(const Request &Asked, const Connection &To,
                        int Status) {
  To->write(head(Asked, Status,
                 (Status == Full ? words(Asked, true) : "") +
                     "X-Request-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
}

void SoakEngine::take(const Request &Asked, const Connection &To) {
  const std::string Expected = Asked.header("x-expected-instance");
  const bool Other = !Expected.empty() && Expected != m_Id;
  if (m_Shelf && Asked.m_Target == "/v1/order" && !Other)
    return takeOrder(Asked, To);
  if (m_Shelf && Asked.m_Target == "/v1/report" && !Other)
    return report(Asked, To);
  if (Asked.m_Target == SoakConfig::HealthPath && !Other)
    return tellHealth(Asked, To);
  if (Asked.m_Target.starts_with("/v1/"))
    return refuse(Asked, To, Other ? Misdirected : NotFound);
  const bool Here = !Other && modelHere(Asked);
  const bool Runs = Here && m_Active < room() && m_RetryAfter == 0us;
  if (!Other)
    m_Oracle.arrived({.m_Id = Asked.header("x-attempt-id"),
                      .m_Engine = m_Id,
                      .m_Service = m_Opts.m_Service,
                      .m_DataCentre = m_Opts.m_DataCentre,
                      .m_Target = Asked.m_Target,
                      .m_Body = Asked.m_Body,
                      .m_Runs = Runs,
                      .m_At = EventLoop::now()});
  if (!Runs)
    refuse(Asked, To, Here ? Full : Misdirected);
  if (!Runs && Here && m_Brittle && m_RetryAfter == 0us)
    noteTurnedAway(Asked);
  if (!Runs)
    return;
  run(Asked, To);
}

void SoakEngine::tellHealth(const Request &Asked, const Connection &To) const {
  const auto Cold =
      std::max<std::int64_t>(0, (m_ColdUntil - EventLoop::now()) / 1ms);
  To->write(head(Asked, m_Draining ? Full : 200,
                 "X-Instance-Id: " + m_Id + "\r\nX-Cold-Remaining-Ms: " +
                     std::to_string(Cold) + "\r\nContent-Length: 0\r\n\r\n"));
}

bool SoakEngine::modelHere(const Request &Asked) const {
  const std::string Model = Asked.header("x-model-name");
  return !m_Shelf || m_Shelf->holds(Model.substr(0, Model.find('/')));
}

void SoakEngine::takeOrder(const Request &Asked, const Connection &To) {
  const Json Body = parseJson(Asked.m_Body);
  OrderArrival Arrival = m_Shelf->arrival(Body, EventLoop::now());
  Arrival.m_Engine = m_Id;
  m_Oracle.orders().arrived(Arrival);
  const auto Obey = [this, Body] {
    OrderBegun Seen;
    const int Status = m_Shelf->order(Body, EventLoop::now(), Seen);
    Seen.m_Engine = m_Id;
    m_Oracle.orders().begun(Seen);
    if (m_Listed)
      publish();
    return Status;
  };
  if (m_OrdersLate > 0us)
    return later(m_OrdersLate, Obey);
  To->write(head(Asked, Obey(), "Content-Length: 0\r\n\r\n"));
}

void SoakEngine::report(const Request &Asked, const Connection &To) {
  const std::string Body = dumpJson({{"inferenceStage", "prefill_decode"},
                                     {"modelList", m_Shelf->models()},
                                     {"utilization", m_Shelf->busy()},
                                     {"sequenceNumber", m_Shelf->taken()},
                                     {"born", m_StartTime},
                                     {"queuedRequests", 0},
                                     {"activeRequests", m_Active}});
  To->write(head(Asked, 200,
                 "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
                     Body));
}

void SoakEngine::run(const Request &Asked, const Connection &To) {
  constexpr int LeastEvents = 3;
  constexpr int MostEvents = 25;
  ++m_Active;
  const auto Started = std::make_shared<Run>();
  Started->m_Asked = Asked;
  Started->m_To = To;
  Started->m_Life = m_Lives;
  Started->m_Signature = m_Id + "." + std::to_string(m_Lives) + "." +
                         std::to_string(++m_Runs) + "." + m_Version;
  const std::string Id = Asked.header("x-attempt-id");
  const bool Streams = Asked.m_Target.find("stream") != std::string::npos;
  m_Oracle.made({.m_Id = Id,
                 .m_Signature = Started->m_Signature,
                 .m_Status = 200,
                 .m_Body = Streams ? ""
                                   : "answer to " + Id + " by " +
                                         Started->m_Signature + " " +
                                         Asked.m_Body});
  const bool Crashes = Asked.m_Body.starts_with(CrashOracle::PartPrefix)
                           ? holdsBadPart(Asked.header("x-prompt-prefix"))
                           : CrashOracle::crashes(Asked.m_Body);
  if (Crashes)
    return later(std::chrono::milliseconds(draw(1, 120)),
                 [this, Body = Asked.m_Body] { crash(Body); });
  const Duration Work = std::chrono::milliseconds(draw(1, 60)) + m_Late;
  if (!Streams)
    return later(Work, [this, Started] { finish(Started); });
  // A stream's length follows from its first id, for runs that resume it.
  const std::string Resumes = Asked.header("resumes");
  Started->m_Last =
      LeastEvents + static_cast<int>(std::hash<std::string>()(
                                         Resumes.empty() ? Id : Resumes) %
                                     (MostEvents - LeastEvents));
  const std::string After = Asked.header("last-event-id");
  Started->m_Next = After.empty() ? 1 : std::stoi(After) + 1;
  // A run that is resumed after its last event sends one more.
  if (m_Endings)
    return m_Endings->sendStream(
        endedRun(*Started, "Content-Type: text/event-stream\r\n"),
        {.m_First = Started->m_Next,
         .m_Last = std::max(Started->m_Next, Started->m_Last),
         .m_Wait = Work,
         .m_Gap = EventGap + m_Late});
  if (m_BreakOff > 0) {
    --m_BreakOff;
    Started->m_BreakAt = draw(Started->m_Next, Started->m_Last);
  }
  To->write(head(Asked, 200,
                 words(Asked, false) +
                     "X-Server-Signature: " + Started->m_Signature +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"));
  later(Work, [this, Started] { stream(Started); });
}

void SoakEngine::playEndings() {
  m_Endings.emplace(m_Loop, m_Oracle, m_Opts.m_Seed);
  m_Link.setPassingHalfCloses(true);
}

SoakEndings::Run SoakEngine::endedRun(const Run &Of,
                                      const std::string &MoreFields) {
  return {.m_To = Of.m_To,
          .m_Id = Of.m_Asked.header("x-attempt-id"),
          .m_Signature = Of.m_Signature,
          .m_Engine = m_Id,
          .m_Head = head(Of.m_Asked, 200,
                         words(Of.m_Asked, false) + "X-Server-Signature: " +
                             Of.m_Signature + "\r\n" + MoreFields),
          .m_OnEnd = [this] { --m_Active; }};
}

void SoakEngine::stream(const std::shared_ptr<Run> &Of) {
  const std::string Text =
      streamText({.m_Number = Of->m_Next,
                  .m_Request = Of->m_Asked.header("x-attempt-id"),
                  .m_Run = Of->m_Signature,
                  .m_Last = Of->m_Next >= Of->m_Last});
  if (Of->m_Next == Of->m_BreakAt) {
    --m_Active;
    const std::string Whole = chunk(Text);
    Of->m_To->write(Whole.substr(0, Whole.size() / 2));
    return Of->m_To->close();
  }
  Of->m_To->write(chunk(Text));
  if (Of->m_Next++ >= Of->m_Last || !Of->m_To->open()) {
    --m_Active;
    return Of->m_To->write(StandinRunner::streamEnd());
  }
  later(EventGap + m_Late, [this, Of] { stream(Of); });
}

void SoakEngine::finish(const std::shared_ptr<Run> &Of) {
  const std::string Id = Of->m_Asked.header("x-attempt-id");
  const std::string Body = "answer to " + (m_Spoiling ? "another" : Id) +
                           " by " + Of->m_Signature + " " + Of->m_Asked.m_Body;
  if (m_Endings)
    return m_Endings->sendPlain(endedRun(*Of, ""), Body);
  --m_Active;
  const std::string Whole = head(
      Of->m_Asked, 200,
      words(Of->m_Asked, false) + "X-Server-Signature: " + Of->m_Signature +
          "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
          Body);
  if (m_BreakOff > 0) {
    --m_BreakOff;
    Of->m_To->write(Whole.substr(0, Whole.size() - Body.size() / 2));
    return Of->m_To->close();
  }
  Of->m_To->write(Whole);
  if (m_Surplus > 0) {
    --m_Surplus;
    Of->m_To->write(Whole);
  }
}

} // namespace havenstair
