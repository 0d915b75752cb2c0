#include "soak/CrashingCallers.h"

#include "soak/SoakConfig.h"

namespace havenstair {

namespace {

constexpr Duration Deadline = 4s;
constexpr Duration Patience = 6s;

/// What it asks for, by the number of the caller.
struct Kind {
  RequestKind m_Kind;
  const char *m_Target;
  const char *m_Model; ///< Null for the plain service.
};
constexpr Kind Kinds[] = {
    {RequestKind::ResumableStream, "/genstream/x", "m0"},
    {RequestKind::Safe, "/safe/x", nullptr},
    {RequestKind::Unsafe, "/unsafe/x", nullptr},
    {RequestKind::ResumableStream, "/genstream/x", "m4"},
    {RequestKind::Stream, "/stream/x", nullptr},
    {RequestKind::ResumableStream, "/resumestream/x", nullptr},
};

} // namespace

int CrashingCallers::draw(int Least, int Most) {
  return std::uniform_int_distribution<int>(Least, Most)(m_Random);
}

CrashingCallers::Caller &CrashingCallers::add() {
  Caller &Made = *m_Callers.emplace_back(std::make_unique<Caller>());
  // Some come many times a second, some hardly ever.
  Made.m_MostPauseMs = draw(0, 1) == 0 ? 150 : 1500;
  return Made;
}

void CrashingCallers::start(int Requests, int Parts, std::uint64_t Seed) {
  m_Random.seed(Seed);
  for (int Number = 0; Number < Parts; ++Number) {
    Caller &Made = add();
    Made.m_Part = std::to_string(Number);
    Made.m_Request.m_Kind = RequestKind::ResumableStream;
    Made.m_Request.m_Target = "/genstream/x";
    Made.m_Request.m_Service = SoakConfig::EngineService;
    next(Made);
  }
  const int First = draw(0, static_cast<int>(std::size(Kinds)) - 1);
  for (int Number = 0; Number < Requests; ++Number) {
    const Kind &Of =
        Kinds[static_cast<std::size_t>(First + Number) % std::size(Kinds)];
    Caller &Made = add();
    Made.m_Request.m_Kind = Of.m_Kind;
    Made.m_Request.m_Target = Of.m_Target;
    Made.m_Request.m_Service = Of.m_Model == nullptr
                                   ? SoakConfig::PlainService
                                   : SoakConfig::EngineService;
    Made.m_Request.m_Body = CrashOracle::Prefix + std::to_string(Number);
    if (Of.m_Model != nullptr)
      Made.m_Headers = {{"X-Model-Name", Of.m_Model},
                        {"X-Token-Counts", "100,20"},
                        {"X-Prompt-Prefix", "ab12:60,cd34:40"}};
    next(Made);
  }
}

/// Draws what differs between two requests with one bad part.
void CrashingCallers::drawPrompt(Caller &By) {
  const std::string Number = std::to_string(m_NextId);
  By.m_Request.m_Body =
      CrashOracle::PartPrefix + By.m_Part + CrashOracle::Separator + Number;
  std::string Prompt = draw(0, 3) == 0 ? "ef56:30," : "ab12:60,";
  if (draw(0, 1) == 0)
    Prompt += "0a0b:20,";
  Prompt += BadPart + By.m_Part + ":20,e" + Number + ":40";
  By.m_Headers = {{"X-Model-Name", "m" + std::to_string(draw(0, 3))},
                  {"X-Token-Counts", "100,20"},
                  {"X-Prompt-Prefix", std::move(Prompt)}};
}

void CrashingCallers::next(Caller &By) {
  By.m_Next = m_Loop.after(
      std::chrono::milliseconds(draw(10, By.m_MostPauseMs)), [this, &By] {
        send(By);
        next(By);
      });
}

void CrashingCallers::send(Caller &By) {
  const SoakBox &Box =
      *m_Boxes[static_cast<std::size_t>(draw(0, std::ssize(m_Boxes) - 1))];
  if (!By.m_Part.empty())
    drawPrompt(By);
  CallerRequest &Request = By.m_Request;
  Request.m_Id = "c" + std::to_string(m_NextId++);
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
  Call.m_Headers.push_back(
      {"X-Deadline-Remaining-Ms", std::to_string(Deadline / 1ms)});
  Call.m_Body = Request.m_Body;
  Call.m_ConnectTimeout = 1s;
  Call.m_IdleTimeout = Patience;
  m_Oracle.sent(Request);
  m_Http.fetch(
      std::move(Call), [this, Id = Request.m_Id](const HttpAnswer &Answer) {
        m_Oracle.answered(
            {.m_Id = Id,
             .m_Status = Answer.m_Status,
             .m_Complete = Answer.m_End == HttpEnd::Complete,
             .m_AnswersId = findHeader(Answer.m_Headers, "X-Attempt-Id"),
             .m_Signature = findHeader(Answer.m_Headers, "X-Server-Signature"),
             .m_Body = Answer.m_Body,
             .m_At = EventLoop::now()});
      });
}

} // namespace havenstair
