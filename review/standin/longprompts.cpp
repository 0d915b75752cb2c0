// Runners of long conversations are lost one after the other.
//
// Three machines of the system, 18 model runners that hold one model, a plain
// service, 80 conversations whose prompts have 64 parts besides the last, and
// clients of the plain service. With the disruption three runners (of 18: a
// share of 0.167) are lost for good, one after the other; each is running the
// same conversation, which the system and its client send again as they may.
// What is judged are the requests to the plain service.
//
// Exit code: 1 the rule CONFIG was broken, 0 it held, 2 the case couldn't run.
#include "Standin.h"
#include <algorithm>

using namespace review;

namespace {

constexpr int Runners = 18, Machines = 3, Conversations = 110, Parts = 64;
constexpr int StatusTimeoutMs = 600, ChatTimeoutMs = 15000;
/// How long a client of the plain service looks for an answer, for the record.
constexpr double StatusWaitS = 10;
constexpr double FirstEventS = 0.7, EventS = 0.1;
constexpr int Events = 25;
constexpr double CrashAfterS = 0.6; ///< After the runner got the conversation.
constexpr int Crashes = 3;
constexpr double EntryLastsS = 3.6; ///< Three heartbeats.

Json config() {
  const auto Route = [](const char *Name, const char *Prefix, const char *Kind,
                        int TimeoutMs, int TargetMs, const char *Service) {
    return Json{{"name", Name},          {"host", "ci.example"},
                {"pathPrefix", Prefix},  {"routeKind", Kind},
                {"timeoutMs", TimeoutMs}, {"targetLatencyMs", TargetMs},
                {"priority", 1},         {"service", Service},
                {"maxAttempts", 2}};
  };
  Json Chat = Route("commit-note", "/note/", "streaming", ChatTimeoutMs, 1500,
                    "review-llm");
  Chat["resumable"] = true;
  Chat["gapTargetMs"] = 400;
  Chat["sessionAffinity"] = true;
  return {{"version", 1},
          {"routes",
           Json::array({Chat, Route("pipe-status", "/status/", "unsafe",
                                    StatusTimeoutMs, 100, "pipeline-api")})},
          {"services",
           Json::array(
               {{{"name", "review-llm"},
                 {"healthPath", "/health"},
                 {"connectionLimit", 370},
                 {"protocol", "h1"},
                 {"inferenceEngine",
                  {{"slots", 64},
                   {"kvCacheTokens", 254071},
                   {"hostMemoryMb", 0},
                   {"diskMb", 1e6},
                   {"modelList",
                    Json::array({{{"name", "m0"},
                                  {"weightsMb", 72700.0},
                                  {"loadTimeS", 4.2},
                                  {"adapterList", 0},
                                  {"adapterSizeMb", 66.0},
                                  {"warmPeriodS", 0.4},
                                  {"diskLoadS", 0.84}}})},
                   {"weightsMb", 220000.0},
                   {"adapterCapacity", 5},
                   {"loadsPerS", 2.1}}}},
                {{"name", "pipeline-api"},
                 {"healthPath", "/health"},
                 {"connectionLimit", 110},
                 {"protocol", "h1"}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// The parts of a conversation's prompt; the last one is the new turn.
std::string promptOf(int Conversation) {
  std::string Result;
  for (int Each = 0; Each <= Parts; ++Each) {
    char Part[32];
    snprintf(Part, sizeof(Part), "%s%08x:10", Each > 0 ? "," : "",
             Conversation * 1000 + Each + 0x10000000);
    Result += Part;
  }
  return Result;
}

const std::string Watched = "watched";

/// A model runner; may be lost while it runs the watched conversation.
class ChatRunner {
public:
  ChatRunner(int Number, const std::string &Host, int Port, Store &List,
             Record &Log)
      : m_Id("i-llm-" + std::to_string(Number)),
        m_Address(Host + ":" + std::to_string(Port)), m_List(List), m_Log(Log),
        m_Server(Host, Port, [this](const Message &Request, Wire &Back) {
          return handle(Request, Back);
        }) {}
  bool start() {
    m_List.put("servers/" + m_Id,
               Json{{"service", "review-llm"},
                    {"address", m_Address},
                    {"zone", "midrand-a"},
                    {"version", "v1"},
                    {"slots", 64},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"inferenceStage", "prefill_decode"},
                    {"modelList", models()},
                    {"sequenceNumber", 0}}
                   .dump());
    return m_Server.start();
  }
  /// When it got the watched conversation; 0 if it does not run it.
  double watchedSince() const { return m_WatchedSince; }
  void lose() {
    m_Lost = true;
    m_Log.write("runner %s is lost with %d requests under way", m_Id.c_str(),
                m_Running.load());
    m_Server.stop();
    m_WatchedSince = 0;
    std::thread([this] {
      sleepFor(EntryLastsS);
      m_List.remove("servers/" + m_Id);
    }).detach();
  }
  void stop() { m_Server.stop(); }

private:
  static Json models() {
    return Json::array(
        {{{"name", "m0"}, {"version", 1}, {"adapterList", Json::array()}}});
  }
  bool handle(const Message &Request, Wire &Back) {
    const std::string Own = "X-Instance-Id: " + m_Id + "\r\n";
    if (Request.target() == "/health")
      return Back.send(answer(200, "", Own));
    const std::string Expected = Request.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != m_Id)
      return Back.send(answer(421, "", Own));
    if (Request.target() == "/v1/report")
      return Back.send(answer(200, Json{{"inferenceStage", "prefill_decode"},
                                        {"modelList", models()},
                                        {"utilization", false},
                                        {"sequenceNumber", 0},
                                        {"queuedRequests", 0},
                                        {"activeRequests", m_Running.load()},
                                        {"kvCacheUsed", 0},
                                        {"kvCacheTotal", 254071},
                                        {"handledModels", 0}}
                                       .dump(),
                              "Content-Type: application/json\r\n"));
    if (Request.target() == "/v1/order")
      return Back.send(answer(409, ""));
    const std::string Id = Request.header("X-Attempt-Id");
    const bool IsWatched = Id.starts_with(Watched);
    ++m_Running;
    if (IsWatched) {
      m_Log.write("runner %s runs %s beside %d others", m_Id.c_str(),
                  Id.c_str(), m_Running.load() - 1);
      m_WatchedSince = seconds();
    }
    const bool Whole = stream(Id, Back);
    --m_Running;
    if (IsWatched)
      m_WatchedSince = 0;
    return Whole;
  }
  bool pause(double Time) const {
    for (const double Until = seconds() + Time; seconds() < Until && !m_Lost;)
      sleepFor(0.02);
    return !m_Lost;
  }
  bool stream(const std::string &Id, Wire &Back) {
    if (!pause(FirstEventS) ||
        !Back.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\nX-Attempt-Id: " +
                   Id + "\r\nX-Server-Signature: " + m_Id + "." + Id +
                   "\r\n\r\n"))
      return false;
    for (int Each = 1; Each <= Events; ++Each) {
      const std::string Event =
          "id: " + std::to_string(Each) + "\ndata: word\n\n";
      char Size[16];
      snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (!Back.send(Size + Event + "\r\n") || !pause(EventS))
        return false;
    }
    return Back.send("0\r\n\r\n");
  }

  std::string m_Id, m_Address;
  Store &m_List;
  Record &m_Log;
  std::atomic<bool> m_Lost{false};
  std::atomic<int> m_Running{0};
  std::atomic<double> m_WatchedSince{0};
  Server m_Server;
};

/// Sends one turn of a conversation. \returns whether it was answered whole.
bool chat(const Machine &At, int Conversation, const std::string &Id,
          Message &Answer, int DeadlineMs, Record *Log) {
  Answer = {};
  const int Fd = connectTo(At.address(), At.clients(), 1);
  if (Fd < 0)
    return false;
  Wire Connection(Fd);
  const std::string Body = "conversation " + std::to_string(Conversation);
  const bool Whole =
      Connection.send("POST /note/1 HTTP/1.1\r\nHost: ci.example\r\n"
                      "X-Attempt-Id: " +
                      Id + "\r\nX-Deadline-Remaining-Ms: " +
                      std::to_string(DeadlineMs) +
                      "\r\nX-Model-Name: m0\r\nX-Token-Counts: 650,125\r\n"
                      "X-Prompt-Prefix: " +
                      promptOf(Conversation) + "\r\nContent-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body) &&
      Connection.read(Answer, DeadlineMs / 1000.0 + 1);
  if (Log != nullptr)
    Log->write("client of %s gets %d%s, Retry-After '%s'", Id.c_str(),
               Answer.status(), Whole ? "" : ", not whole",
               Answer.header("Retry-After").c_str());
  return Whole && Answer.status() == 200;
}

struct Status {
  double SentAt = 0, AnsweredAt = 0;
  int Answer = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = getenv("TROUBLE") == nullptr ||
                       std::string(getenv("TROUBLE")) != "0";
  Record Log(Arguments[1]);
  std::vector<std::string> Hosts;
  for (int Each = 1; Each <= Machines; ++Each)
    Hosts.push_back("127.33.0." + std::to_string(Each));
  const std::string RunnerHost = "127.33.1.1", Platform = "127.33.2.1";
  std::vector<std::string> All = Hosts;
  All.push_back(Platform);
  const int Port = freePorts(All);
  Store List(Platform, Port);
  Server Plain(RunnerHost, Port - 1, [](const Message &Request, Wire &Back) {
    const std::string Id = Request.header("X-Attempt-Id");
    if (Request.target() == "/health")
      return Back.send(answer(200, "", "X-Instance-Id: i-api-1\r\n"));
    sleepFor(0.015);
    return Back.send(answer(200, std::string(800, 's'),
                            "X-Attempt-Id: " + Id +
                                "\r\nX-Server-Signature: api." + Id + "\r\n"));
  });
  std::vector<std::unique_ptr<ChatRunner>> Chats;
  for (int Each = 0; Each < Runners; ++Each)
    Chats.push_back(std::make_unique<ChatRunner>(Each, RunnerHost, Port + Each,
                                                 List, Log));
  if (!List.start() || !Plain.start())
    return 2;
  for (auto &Each : Chats)
    if (!Each->start())
      return 2;
  List.put("servers/i-api-1",
           Json{{"service", "pipeline-api"},
                {"address", RunnerHost + ":" + std::to_string(Port - 1)},
                {"zone", "midrand-a"},
                {"version", "v1"},
                {"slots", 6},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"sequenceNumber", 0}}
               .dump());
  List.put("op/config", config().dump());
  std::vector<std::string> Seeds;
  for (const std::string &Host : Hosts)
    Seeds.push_back(Host + ":" + std::to_string(Port + 2));
  std::vector<std::unique_ptr<Machine>> Boxes;
  for (int Each = 0; Each < Machines; ++Each) {
    Boxes.push_back(std::make_unique<Machine>(Machine::Options{
        .Name = "frontend-midrand-a-" + std::to_string(Each + 1),
        .Zone = "midrand-a",
        .Address = Hosts[static_cast<std::size_t>(Each)],
        .Folder = Arguments[2],
        .Store = Platform + ":" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = Seeds,
        .Zones = {{"midrand-a", "gauteng"}},
        .Bounds = smallBounds()}));
    Boxes.back()->start();
  }
  for (auto &Each : Boxes) {
    for (int Try = 0; Try < 100 && !Each->ready(); ++Try)
      sleepFor(0.1);
    if (!Each->ready())
      return 2;
  }
  sleepFor(4);

  std::atomic<bool> Over{false};
  std::atomic<int> Answered{0};
  std::vector<std::thread> Clients;
  for (int Each = 1; Each <= Conversations; ++Each)
    Clients.emplace_back([&, Each] {
      sleepFor(0.03 * Each);
      for (int Turn = 1; !Over; ++Turn) {
        const auto At = static_cast<std::size_t>((Each + Turn) % Machines);
        Message Answer;
        Answered += chat(*Boxes[At], Each,
                         "talk-" + std::to_string(Each) + "-" +
                             std::to_string(Turn),
                         Answer, ChatTimeoutMs, nullptr);
        sleepFor(0.2);
      }
    });
  for (int Try = 0; Try < 200 && Answered < 2 * Conversations; ++Try)
    sleepFor(0.1);
  Log.write("%d turns of %d conversations were answered so far",
            Answered.load(), Conversations);
  if (Answered < Conversations)
    std::_Exit(2);

  std::mutex Mutex;
  std::vector<Status> Asked;
  std::vector<std::thread> Askers;
  for (int Each = 0; Each < Machines * 5; ++Each)
    Askers.emplace_back([&, Each] {
      const Machine &At = *Boxes[static_cast<std::size_t>(Each % Machines)];
      sleepFor(0.02 * Each);
      for (int Number = 0; !Over; ++Number) {
        Status One{.SentAt = seconds()};
        const std::string Id =
            "status-" + std::to_string(Each) + "-" + std::to_string(Number);
        const int Fd = connectTo(At.address(), At.clients(), 1);
        if (Fd >= 0) {
          Wire Connection(Fd);
          Message Answer;
          One.SentAt = seconds();
          if (Connection.send("POST /status/1 HTTP/1.1\r\nHost: ci.example\r\n"
                              "X-Attempt-Id: " +
                              Id + "\r\nX-Deadline-Remaining-Ms: " +
                              std::to_string(StatusTimeoutMs) +
                              "\r\nContent-Length: 2\r\n\r\n{}") &&
              Connection.read(Answer, StatusWaitS)) {
            One.AnsweredAt = seconds();
            One.Answer = Answer.status();
          }
          if (One.AnsweredAt - One.SentAt > StatusTimeoutMs / 1000.0 + 0.5 ||
              One.Answer == 0)
            Log.write("%s to %s: %d after %.2f s", Id.c_str(),
                      At.name().c_str(), One.Answer,
                      (One.Answer == 0 ? seconds() : One.AnsweredAt) -
                          One.SentAt);
          std::lock_guard Lock(Mutex);
          Asked.push_back(One);
        }
        sleepFor(0.1);
      }
    });
  // The platform's questions, for the record.
  std::atomic<int> Questions{0}, Missed{0};
  for (int Each = 0; Each < Machines; ++Each)
    Askers.emplace_back([&, Each] {
      const Machine &At = *Boxes[static_cast<std::size_t>(Each)];
      for (; !Over; sleepFor(1)) {
        ++Questions;
        if (At.ready())
          continue;
        ++Missed;
        Log.write("%s does not say within a second that it is ready",
                  At.name().c_str());
      }
    });
  sleepFor(2);
  std::thread Client([&] {
    // Its own retries, as PROTOCOL tells them: a few within the deadline, each
    // on a new connection at another machine, after Retry-After.
    const double Until = seconds() + ChatTimeoutMs / 1000.0;
    for (int Try = 1; Try <= 6 && seconds() < Until - 0.1; ++Try) {
      Message Answer;
      const auto At = static_cast<std::size_t>(Try % Machines);
      if (chat(*Boxes[At], 0, Watched + "-" + std::to_string(Try), Answer,
               static_cast<int>(1000 * (Until - seconds())), &Log) ||
          std::set{400, 401, 404, 413, 431}.contains(Answer.status()))
        break;
      sleepFor(std::clamp(atof(Answer.header("Retry-After").c_str()), 0.05,
                          std::max(0.05, (Until - seconds()) / 3)));
    }
  });
  if (Trouble) {
    const double Until = seconds() + 20;
    for (int Lost = 0; Lost < Crashes && seconds() < Until;) {
      sleepFor(0.01);
      for (auto &Each : Chats) {
        const double Since = Each->watchedSince();
        if (Since > 0 && seconds() - Since >= CrashAfterS && Lost < Crashes) {
          Each->lose();
          ++Lost;
        }
      }
    }
  }
  sleepFor(25);
  Over = true;
  Client.join();
  for (auto &Each : Askers)
    Each.join();
  for (auto &Each : Clients)
    Each.join();
  const bool AllLive = std::none_of(Boxes.begin(), Boxes.end(),
                                    [](auto &Each) { return Each->ended(); });
  Boxes.clear();
  for (auto &Each : Chats)
    Each->stop();
  Plain.stop();
  List.stop();

  // CONFIG: requests with no answer at the route's timeoutMs, and those of them
  // that still have none half a second later.
  int AtTimeout = 0, Later = 0, Good = 0;
  for (const Status &Each : Asked) {
    const double Took =
        Each.Answer == 0 ? 99 : Each.AnsweredAt - Each.SentAt;
    Good += Each.Answer == 200 ? 1 : 0;
    AtTimeout += Took > StatusTimeoutMs / 1000.0 ? 1 : 0;
    Later += Took > StatusTimeoutMs / 1000.0 + 0.5 ? 1 : 0;
  }
  Log.write("%zu requests to the plain service, %d served; without an answer "
            "at timeoutMs: %d, half a second later: %d; readiness: %d of %d "
            "questions missed; processes live: %s",
            Asked.size(), Good, AtTimeout, Later, Missed.load(),
            Questions.load(), AllLive ? "yes" : "no");
  const bool Broken = Later >= 8 && 2 * Later > AtTimeout;
  Log.write(Broken ? "CONFIG is broken: requests are held past timeoutMs"
                   : "CONFIG held");
  if (Broken)
    return 1;
  return Good > 0 ? 0 : 2;
}
