#include "soak/SkewedCallers.h"

#include "soak/SoakConfig.h"

#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration ArrivalInterval = 4ms;
constexpr Duration ProbeInterval = 1s;
constexpr int MissesUntilOut = 2;
constexpr int HotPercent = 90;
constexpr int UnsafePercent = 80; ///< Of what is no stream.
constexpr Duration ShortDeadline = 1s;
constexpr Duration StreamDeadline = 5s;

/// Nothing of it has been answered, and the connection has ended.
bool closedUnread(const RawAnswer &Answer) {
  return Answer.status() == 0 &&
         (Answer.end() == RawEnd::Reset || Answer.end() == RawEnd::Fin);
}

} // namespace

int SkewedCallers::draw(int Least, int Most) {
  return std::uniform_int_distribution<int>(Least, Most)(m_Random);
}

void SkewedCallers::start(Options Opts) {
  m_Opts = Opts;
  m_Random.seed(m_Opts.m_Seed);
  if (m_Opts.m_PerSecond == 0)
    return;
  m_LastArrival = EventLoop::now();
  m_Arrivals = m_Loop.every(ArrivalInterval, [this] { arrive(); });
  m_Begin = m_Loop.after(m_Opts.m_From, [this] { skew(true); });
  m_End = m_Loop.after(m_Opts.m_From + m_Opts.m_For, [this] { skew(false); });
}

void SkewedCallers::skew(bool On) {
  m_Skewed = On;
  const TimePoint Now = EventLoop::now();
  if (!On) {
    m_Probes = Timer();
    return m_Oracle.skew().ended(Now);
  }
  m_Oracle.skew().began(Now);
  nextBox();
  m_Probes = m_Loop.every(ProbeInterval, [this] { probe(); });
}

void SkewedCallers::nextBox() {
  m_Misses = 0;
  ++m_InTurn;
  m_Hot = static_cast<std::size_t>(draw(0, std::ssize(m_Boxes) - 1));
}

/// As the platform asks for readiness.
void SkewedCallers::probe() {
  HttpCall Call;
  Call.m_To = m_Boxes[m_Hot]->readiness();
  Call.m_Target = "/v1/readiness";
  Call.m_TotalTimeout = ProbeInterval;
  m_Http.fetch(std::move(Call), [this, Hot = m_Hot](const HttpAnswer &Answer) {
    if (Hot != m_Hot)
      return;
    m_Misses = Answer.ok() ? 0 : m_Misses + 1;
    if (m_Misses == MissesUntilOut)
      nextBox();
  });
}

void SkewedCallers::arrive() {
  const TimePoint Now = EventLoop::now();
  m_Due += inSeconds(Now - m_LastArrival) *
           (m_Skewed ? m_Opts.m_PerSecondSkewed : m_Opts.m_PerSecond);
  m_LastArrival = Now;
  for (; m_Due >= 1; m_Due -= 1)
    begin();
}

std::size_t SkewedCallers::pickBox() {
  if (m_Skewed && draw(1, 100) <= HotPercent)
    return m_Hot;
  return static_cast<std::size_t>(draw(0, std::ssize(m_Boxes) - 1));
}

/// Retries meet other boxes.
std::size_t SkewedCallers::otherBox(std::size_t Than) {
  const int Others = static_cast<int>(m_Boxes.size()) - 1;
  const auto Result =
      static_cast<std::size_t>(draw(0, std::max(0, Others - 1)));
  return Result < Than ? Result : (Result + 1) % m_Boxes.size();
}

void SkewedCallers::choose(Asked &Of) {
  constexpr int Wanted = 24;
  Of.m_Request.m_Service = SoakConfig::PlainService;
  Of.m_Deadline = ShortDeadline;
  if (draw(1, 100) > m_Opts.m_StreamPercent) {
    const bool Unsafe = draw(1, 100) <= UnsafePercent;
    Of.m_Request.m_Kind = Unsafe ? RequestKind::Unsafe : RequestKind::Safe;
    Of.m_Request.m_Target = Unsafe ? "/unsafe/x" : "/safe/x";
    return;
  }
  Of.m_Deadline = StreamDeadline;
  Of.m_Request.m_Kind = RequestKind::ResumableStream;
  Of.m_Request.m_Target = "/resumestream/x";
  if (m_Opts.m_Models == 0)
    return;
  Of.m_Request.m_Target = "/genstream/x";
  Of.m_Request.m_Service = SoakConfig::EngineService;
  const int Model = draw(0, draw(0, std::min(m_Opts.m_Models, Wanted) - 1));
  Of.m_Headers = {{"X-Model-Name", "m" + std::to_string(Model)},
                  {"X-Token-Counts", "100,20"},
                  {"X-Prompt-Prefix", "ab12:60,cd34:40"}};
}

void SkewedCallers::begin() {
  const std::uint64_t Number = m_NextNumber++;
  Asked &Made = m_Open[Number];
  choose(Made);
  Made.m_Since = EventLoop::now();
  Made.m_Request.m_Body =
      "skewed " + std::to_string(Number) + " " +
      std::string(static_cast<std::size_t>(draw(0, 3000)), 'x');
  send(Number);
}

void SkewedCallers::send(std::uint64_t Number) {
  Asked &Of = m_Open.at(Number);
  Of.m_Box = Of.m_Unread > 0 ? otherBox(Of.m_Box) : pickBox();
  const SoakBox &Box = *m_Boxes[Of.m_Box];
  const TimePoint Now = EventLoop::now();
  Of.m_Request.m_Id = "k" + std::to_string(m_NextId++);
  Of.m_Request.m_Box = Box.name();
  Of.m_Request.m_BoxLife = Box.life();
  Of.m_Request.m_At = Now;
  const Duration Left = Of.m_Since + Of.m_Deadline - Now;
  HttpCall Call;
  Call.m_To = Box.callers();
  Call.m_Target = Of.m_Request.m_Target;
  Call.m_Headers = Of.m_Headers;
  Call.m_Headers.push_back({"Host", SoakConfig::Host});
  Call.m_Headers.push_back({"X-Attempt-Id", Of.m_Request.m_Id});
  Call.m_Headers.push_back(
      {"X-Deadline-Remaining-Ms", std::to_string(Left / 1ms)});
  Call.m_Body = Of.m_Request.m_Body;
  Call.m_IdleTimeout = Left;
  m_Oracle.sent(Of.m_Request);
  Of.m_Call = std::make_unique<RawCall>(
      m_Loop, Call,
      [this, Number](const RawAnswer &Answer) { done(Number, Answer); });
}

/// Whether the request is sent again: none of its tries was read.
bool SkewedCallers::retries(Asked &Of, const RawAnswer &Answer) {
  const bool Unread =
      closedUnread(Answer) && !m_Oracle.reachedEngine(Of.m_Request.m_Id);
  Of.m_Unread += Unread ? 1 : 0;
  return Unread && Of.m_Unread == 1 &&
         EventLoop::now() < Of.m_Since + Of.m_Deadline;
}

void SkewedCallers::done(std::uint64_t Number, const RawAnswer &Answer) {
  Asked &Of = m_Open.at(Number);
  const TimePoint Now = EventLoop::now();
  m_Oracle.answered({.m_Id = Of.m_Request.m_Id,
                     .m_Status = Answer.status(),
                     .m_Complete = Answer.end() == RawEnd::Framing,
                     .m_AnswersId = Answer.header("x-attempt-id"),
                     .m_Signature = Answer.header("x-server-signature"),
                     .m_Body = Answer.body(),
                     .m_At = Now});
  const int UnreadBefore = Of.m_Unread;
  if (retries(Of, Answer))
    return send(Number);
  m_Oracle.skew().done(
      {.m_At = Of.m_Since,
       .m_Read = Of.m_Unread == UnreadBefore,
       .m_Served = Answer.end() == RawEnd::Framing && Answer.status() == 200,
       .m_Unread = Of.m_Unread,
       .m_Took = Now - Of.m_Since});
  m_Open.erase(Number);
}

} // namespace havenstair
