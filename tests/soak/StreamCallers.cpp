#include "soak/StreamCallers.h"

#include "soak/SoakConfig.h"

#include <utility>

namespace havenstair {

namespace {

constexpr Duration Patience = 6s;
constexpr Duration MinLeft = 400ms; ///< For a try that may still bring events.
constexpr int StreamStatus = 200;

} // namespace

int StreamCallers::draw(int Least, int Most) {
  return std::uniform_int_distribution<int>(Least, Most)(m_Random);
}

void StreamCallers::start(Options Opts) {
  m_Opts = Opts;
  m_Random.seed(m_Opts.m_Seed);
  for (int Number = 0; Number < m_Opts.m_Callers; ++Number)
    later(*m_Callers.emplace_back(std::make_unique<Caller>()), false);
}

void StreamCallers::stop() {
  for (const auto &Each : m_Callers) {
    judge(*Each);
    if (Each->m_Open)
      m_Oracle.left(Each->m_Request.m_Id);
  }
  m_Callers.clear();
}

/// Nothing more comes of its stream.
void StreamCallers::judge(Caller &By) {
  if (!By.m_Got.empty())
    m_Oracle.versions().judge(By.m_First, By.m_Got, EventLoop::now());
  By.m_Got.clear();
}

Duration StreamCallers::pause(const Caller &By, bool Again) {
  constexpr int OneWaitsIn = 3;
  constexpr Duration LongAndMore = 9s;
  const bool MayWait =
      Again && m_Opts.m_WaitLong && EventLoop::now() + LongAndMore < By.m_Until;
  if (MayWait && draw(1, OneWaitsIn) == 1)
    return std::chrono::milliseconds(draw(3000, 7000));
  return std::chrono::milliseconds(draw(5, 300));
}

void StreamCallers::later(Caller &By, bool Again) {
  By.m_Next = m_Loop.after(
      pause(By, Again), [this, &By, Again] { Again ? send(By) : begin(By); });
}

void StreamCallers::begin(Caller &By) {
  const bool Engine = draw(0, 1) == 0 && !m_Opts.m_OnlyPlain;
  By.m_Request.m_Kind = RequestKind::ResumableStream;
  By.m_Request.m_Target = Engine ? "/genstream/x" : "/resumestream/x";
  By.m_Request.m_Service =
      Engine ? SoakConfig::EngineService : SoakConfig::PlainService;
  By.m_Request.m_Body = "stream " + std::to_string(m_NextId);
  By.m_Headers.clear();
  if (Engine)
    By.m_Headers = {{"X-Model-Name", "m" + std::to_string(draw(0, 1))},
                    {"X-Token-Counts", "100,20"},
                    {"X-Prompt-Prefix", "ab12:60,cd34:40"}};
  By.m_First.clear();
  By.m_Got.clear();
  By.m_BegunAt = EventLoop::now();
  By.m_Until = By.m_BegunAt + m_Opts.m_Deadline;
  ++m_Oracle.versions().counts().m_Asked;
  send(By);
}

void StreamCallers::send(Caller &By) {
  const SoakBox &Box =
      *m_Boxes[static_cast<std::size_t>(draw(0, std::ssize(m_Boxes) - 1))];
  CallerRequest &Request = By.m_Request;
  Request.m_Id = "t" + std::to_string(m_NextId++);
  Request.m_Box = Box.name();
  Request.m_BoxLife = Box.life();
  Request.m_At = EventLoop::now();
  HttpCall Call;
  Call.m_To = Box.callers();
  Call.m_Method = HttpMethod::Post;
  Call.m_Target = Request.m_Target;
  Call.m_Headers = By.m_Headers;
  Call.m_Headers.push_back({"Host", SoakConfig::Host});
  Call.m_Headers.push_back({"X-Attempt-Id", Request.m_Id});
  Call.m_Headers.push_back({"X-Deadline-Remaining-Ms",
                            std::to_string((By.m_Until - Request.m_At) / 1ms)});
  if (!By.m_Got.empty()) {
    ++m_Oracle.versions().counts().m_TakenUp;
    Call.m_Headers.push_back({"Resumes", By.m_First});
    Call.m_Headers.push_back(
        {"Last-Event-Id", std::to_string(By.m_Got.back().m_Number)});
  }
  Call.m_Body = Request.m_Body;
  if (m_Opts.m_KeepConnections)
    Call.m_Use = ConnectionUse::Reused;
  Call.m_ConnectTimeout = 1s;
  Call.m_IdleTimeout = Patience;
  By.m_Bytes.clear();
  By.m_Status = 0;
  By.m_Open = true;
  Call.m_OnHead = [&By](int Status, const HttpHeaders &) {
    By.m_Status = Status;
  };
  Call.m_OnBytes = [&By](std::string_view Bytes) { By.m_Bytes += Bytes; };
  Call.m_OnEnd = [this, &By](HttpEnd End) { ended(By, End, false); };
  m_Oracle.sent(Request);
  m_Oracle.partitions().left(Request.m_Id);
  By.m_Call = m_Http.start(std::move(Call));
  constexpr int OneCutsIn = 4;
  if (draw(1, OneCutsIn) == 1)
    By.m_Cut = m_Loop.after(std::chrono::milliseconds(draw(20, 600)),
                            [this, &By] { ended(By, HttpEnd::Broken, true); });
}

void StreamCallers::tell(const Caller &By, bool Brought, bool Left) {
  const bool TakesUp = !By.m_Got.empty();
  m_Oracle.streamTried(
      {.m_Id = By.m_Request.m_Id,
       .m_Stream = TakesUp ? By.m_First : By.m_Request.m_Id,
       .m_Box = By.m_Request.m_Box,
       .m_Service = By.m_Request.m_Service,
       .m_Version = TakesUp ? versionOf(By.m_Got.front().m_Run) : "",
       .m_TakesUp = TakesUp,
       .m_Brought = Brought,
       .m_Left = Left,
       .m_BegunAt = By.m_BegunAt,
       .m_At = By.m_Request.m_At,
       .m_EndedAt = EventLoop::now()});
}

void StreamCallers::ended(Caller &By, HttpEnd End, bool Left) {
  // A try may end by itself in the moment in which it is cut.
  if (!std::exchange(By.m_Open, false))
    return;
  VersionOracle::Counts &Counts = m_Oracle.versions().counts();
  const std::vector<StreamPiece> Came = By.m_Status == StreamStatus
                                            ? readStream(By.m_Bytes)
                                            : std::vector<StreamPiece>();
  const bool Ends = End == HttpEnd::Complete && By.m_Status == StreamStatus;
  tell(By, !Came.empty() || (!By.m_Got.empty() && Ends), Left);
  if (!By.m_Got.empty() && (Ends || !Came.empty()))
    ++Counts.m_WentOn;
  if (By.m_Got.empty() && !Came.empty()) {
    ++Counts.m_Begun;
    By.m_First = By.m_Request.m_Id;
  }
  By.m_Got.insert(By.m_Got.end(), Came.begin(), Came.end());
  const bool Whole = !By.m_Got.empty() && By.m_Got.back().m_Last;
  Counts.m_Whole += Whole ? 1 : 0;
  // The call and the timer may be what runs now.
  m_Loop.defer([this, &By, Whole] {
    if (m_Callers.empty())
      return;
    By.m_Call = HttpCallHandle();
    By.m_Cut = Timer();
    const bool Again =
        !Whole && !By.m_Got.empty() && EventLoop::now() + MinLeft < By.m_Until;
    if (!Again)
      judge(By);
    later(By, Again);
  });
}

} // namespace havenstair
