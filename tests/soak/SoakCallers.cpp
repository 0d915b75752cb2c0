#include "soak/SoakCallers.h"

#include "soak/StreamText.h"

#include <algorithm>
#include <optional>

namespace havenstair {

namespace {

constexpr Duration Deadline = 4s;
constexpr Duration Patience = 6s; ///< Longer than any answer should take.

} // namespace

struct SoakCallers::Caller {
  Caller(EventLoop &Loop, std::uint64_t Seed) : m_Random(Seed), m_Http(Loop) {}

  int draw(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(m_Random);
  }

  std::mt19937_64 m_Random;
  HttpClient m_Http;
  std::shared_ptr<void> m_Call;
  Timer m_Next;
  Timer m_Leave;
  std::size_t m_Box = 0;
  bool m_Raw = false;
};

SoakCallers::SoakCallers(EventLoop &Loop, SoakOracle &Oracle,
                         const SoakConfig &Config,
                         std::vector<std::unique_ptr<SoakBox>> &Boxes)
    : m_Loop(Loop), m_Oracle(Oracle), m_Config(Config), m_Boxes(Boxes) {}

SoakCallers::~SoakCallers() = default;

void SoakCallers::start(int Callers, std::uint64_t Seed) {
  std::mt19937_64 Seeds(Seed);
  for (int Number = 0; Number < Callers; ++Number) {
    Caller &Made =
        *m_Callers.emplace_back(std::make_unique<Caller>(m_Loop, Seeds()));
    Made.m_Box = static_cast<std::size_t>(Number) % m_Boxes.size();
    Made.m_Raw = m_ReadRaw && Number % 2 == 1;
    next(Made);
  }
}

void SoakCallers::next(Caller &By) {
  if (m_Stopped)
    return;
  By.m_Next = m_Loop.after(std::chrono::milliseconds(By.draw(5, 200)),
                           [this, &By] { send(By); });
}

/// Low numbers are asked for most, and those beyond the wanted ones rarely.
int SoakCallers::drawModel(Caller &By) const {
  constexpr int Wanted = 24;
  constexpr int RareOneIn = 20;
  const int Models = m_Config.models();
  if (Models > Wanted && By.draw(1, RareOneIn) == 1)
    return By.draw(0, Models - 1);
  return By.draw(0, By.draw(0, std::min(Models, Wanted) - 1));
}

void SoakCallers::chooseKind(Caller &By, CallerRequest &Request,
                             HttpHeaders &Headers) {
  Request.m_Service = SoakConfig::PlainService;
  const int Choice = By.draw(0, 99);
  if (Choice < 30) {
    Request.m_Target = "/safe/x?n=" + Request.m_Id;
  } else if (Choice < 50) {
    Request.m_Kind = RequestKind::Unsafe;
    Request.m_Target = "/unsafe/x";
  } else if (Choice < 58) {
    Request.m_Kind = RequestKind::Stream;
    Request.m_Target = "/stream/x";
  } else if (Choice < 68) {
    Request.m_Kind = RequestKind::ResumableStream;
    Request.m_Target = "/resumestream/x";
  } else if (Choice < 85) {
    Request.m_Kind = RequestKind::ResumableStream;
    Request.m_Service = SoakConfig::EngineService;
    Request.m_Target = "/genstream/x";
    std::string Model = "m";
    Model += std::to_string(drawModel(By));
    if (By.draw(0, 3) == 0)
      Model += "/a1";
    Headers.push_back({"X-Model-Name", Model});
    Headers.push_back({"X-Token-Counts", "100,20"});
    Headers.push_back({"X-Prompt-Prefix", "ab12:60,cd34:40"});
  } else if (Choice < 90) {
    Request.m_Target = "/near/x";
  } else {
    const std::uint64_t Newest = m_Config.version();
    Request.m_Since = Newest > 1 && By.draw(0, 1) == 0 ? Newest - 1 : Newest;
    Request.m_Target = SoakConfig::passingPath(*Request.m_Since) + "x";
  }
}

HttpCall SoakCallers::makeCall(Caller &By, CallerRequest &Request) {
  const SoakBox &Box = *m_Boxes[By.m_Box];
  Request.m_Id = "r" + std::to_string(m_NextId++);
  Request.m_Box = Box.name();
  Request.m_BoxLife = Box.life();
  Request.m_At = EventLoop::now();
  Request.m_Body = "body of " + Request.m_Id + " " +
                   std::string(static_cast<std::size_t>(By.draw(0, 3000)), 'x');
  HttpCall Call;
  Call.m_Headers = {
      {"Host", SoakConfig::Host},
      {"X-Attempt-Id", Request.m_Id},
      {"X-Deadline-Remaining-Ms", std::to_string(Deadline / 1ms)}};
  chooseKind(By, Request, Call.m_Headers);
  Call.m_To = Box.callers();
  Call.m_Method = HttpMethod::Post;
  Call.m_Target = Request.m_Target;
  Call.m_Body = Request.m_Body;
  Call.m_Use = ConnectionUse::Reused;
  Call.m_ConnectTimeout = 1s;
  Call.m_IdleTimeout = Patience;
  return Call;
}

void SoakCallers::send(Caller &By) {
  CallerRequest Request;
  HttpCall Call = makeCall(By, Request);
  ++m_Open;
  ++m_Counts.m_Sent;
  m_Oracle.sent(Request);
  const std::string Id = Request.m_Id;
  if (By.m_Raw)
    By.m_Call = std::make_shared<RawCall>(
        m_Loop, Call,
        [this, &By, Id](const RawAnswer &Answer) { doneRaw(By, Id, Answer); });
  else
    By.m_Call = By.m_Http.fetchHeld(
        std::move(Call),
        [this, &By, Id](const HttpAnswer &Answer) { done(By, Id, Answer); });
  constexpr int OneLeavesIn = 40;
  if (By.draw(1, OneLeavesIn) > 1)
    return;
  By.m_Leave =
      m_Loop.after(std::chrono::milliseconds(By.draw(0, 300)), [this, &By, Id] {
        m_Oracle.left(Id);
        ++m_Counts.m_Left;
        --m_Open;
        By.m_Call.reset();
        next(By);
      });
}

/// Whether the caller has to take it for a whole answer. \p Framed tells that a
/// length or a last chunk says so; without, a stream that ends inside an event
/// has been broken off.
bool SoakCallers::claimsWhole(const std::string &Id, bool Framed,
                              const std::string &Body) const {
  const CallerRequest *Request = m_Oracle.request(Id);
  return Framed || Request == nullptr || !isStream(Request->m_Kind) ||
         unfinishedEvent(Body).empty();
}

void SoakCallers::done(Caller &By, const std::string &Id,
                       const HttpAnswer &Answer) {
  const bool Framed =
      !findHeader(Answer.m_Headers, "Content-Length").empty() ||
      !findHeader(Answer.m_Headers, "Transfer-Encoding").empty();
  tell(By, {.m_Id = Id,
            .m_Status = Answer.m_Status,
            .m_Complete =
                Answer.received() && claimsWhole(Id, Framed, Answer.m_Body),
            .m_AnswersId = findHeader(Answer.m_Headers, "X-Attempt-Id"),
            .m_Signature = findHeader(Answer.m_Headers, "X-Server-Signature"),
            .m_Body = Answer.m_Body,
            .m_At = EventLoop::now()});
}

void SoakCallers::doneRaw(Caller &By, const std::string &Id,
                          const RawAnswer &Answer) {
  const bool Framed = Answer.end() == RawEnd::Framing;
  tell(By, {.m_Id = Id,
            .m_Status = Answer.status(),
            .m_Complete = Answer.framedAsWhole() &&
                          claimsWhole(Id, Framed, Answer.body()),
            .m_AnswersId = Answer.header("x-attempt-id"),
            .m_Signature = Answer.header("x-server-signature"),
            .m_Body = Answer.body(),
            .m_At = EventLoop::now()});
}

void SoakCallers::tell(Caller &By, const CallerAnswer &Answer) {
  --m_Open;
  By.m_Leave = Timer();
  m_Oracle.answered(Answer);
  const bool Success = Answer.m_Status / 100 == 2;
  ++(!Answer.m_Complete ? m_Counts.m_Broken
     : Success          ? m_Counts.m_Served
                        : m_Counts.m_Refused);
  if (!Answer.m_Complete && !m_StayAtBox)
    By.m_Box = (By.m_Box + 1) % m_Boxes.size();
  next(By);
}

} // namespace havenstair
