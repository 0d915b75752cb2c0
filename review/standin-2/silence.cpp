// A runner that has room for eight requests preempts the least urgent streams
// for as long as more urgent ones run. A box that is stopped meanwhile has to
// let them end. Usage: silence FOLDER RECORD; TROUBLE=0 leaves the box running.
#include "Parts.h"

using namespace review2;

namespace {

constexpr int Room = 8;
constexpr int Drafts = 3;
constexpr int DraftEvents = 10;
constexpr double DraftPause = 0.1;
constexpr int ChatEvents = 52;
constexpr double ChatPause = 0.3;
constexpr double Deadline = 20;
constexpr double Grace = 8;
constexpr double TermAfter = 11.5;

/// The urgent streams come when each draft has begun.
constexpr double ChatsAfter = 0.6;

/// The requests at work, the most urgent and oldest first.
class Batch {
public:
  using Place = std::pair<int, int>;
  Place enter(int Priority) {
    const std::lock_guard Lock(m_Mutex);
    const Place Result{Priority, ++m_Number};
    m_Running.insert({Result, true});
    return Result;
  }
  void leave(const Place &Of) {
    const std::lock_guard Lock(m_Mutex);
    m_Running.erase(Of);
  }
  /// Whether \p Of has memory now; the newest of the least urgent have none.
  bool runs(const Place &Of) {
    const std::lock_guard Lock(m_Mutex);
    return std::distance(m_Running.begin(), m_Running.find(Of)) < Room;
  }

private:
  std::mutex m_Mutex;
  std::map<Place, bool> m_Running;
  int m_Number = 0;
};

bool closedByOther(int Socket) {
  char Byte = 0;
  return recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

struct Run {
  double m_Arrived = 0;
  double m_Ended = 0;
  bool m_Whole = false;
  bool m_ClosedByBox = false;
};

class Runner {
public:
  explicit Runner(Record &Log)
      : m_Log(Log), m_Server([this](const Request &Received, int Socket) {
          return handle(Received, Socket);
        }) {}
  std::string address() const { return m_Server.address(); }
  Run run(const std::string &Id) {
    const std::lock_guard Lock(m_Mutex);
    return m_Runs[Id];
  }

private:
  bool handle(const Request &Received, int Socket) {
    const std::string Expected = Received.field("X-Expected-Instance");
    if (!Expected.empty() && Expected != "i-1")
      return sendAll(Socket, answer(421, "", "X-Instance-Id: i-1\r\n"));
    if (Received.m_Target == "/health")
      return sendAll(Socket, answer(200, "", "X-Instance-Id: i-1\r\n"));
    const bool Chat = Received.m_Target.starts_with("/chat/");
    const std::string Id = Received.field("X-Attempt-Id");
    const std::string Urgency = Received.field("X-Request-Priority");
    const auto Place =
        m_Batch.enter(Urgency.empty() ? 5 : std::stoi(Urgency));
    m_Log.write("runner: %s arrives, priority %s, %s ms left", Id.c_str(),
                Urgency.c_str(),
                Received.field("X-Deadline-Remaining-Ms").c_str());
    Run Now{.m_Arrived = seconds()};
    bool Open = sendAll(
        Socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\nX-Attempt-Id: " +
                    Id + "\r\nX-Server-Signature: i-1." + Id + "\r\n\r\n");
    const int Events = Chat ? ChatEvents : DraftEvents;
    for (int Event = 1; Event <= Events && Open; ++Event) {
      sleepFor(Chat ? ChatPause : DraftPause);
      bool Preempted = false;
      while (!m_Batch.runs(Place) && (Open = !closedByOther(Socket))) {
        if (!std::exchange(Preempted, true))
          m_Log.write("runner: %s is preempted before event %d", Id.c_str(),
                      Event);
        sleepFor(0.01);
      }
      if (!Open || closedByOther(Socket)) {
        Open = false;
        break;
      }
      if (Preempted)
        m_Log.write("runner: %s goes on with event %d", Id.c_str(), Event);
      Open = sendEvent(Socket, Id, Event);
    }
    m_Batch.leave(Place);
    Open = Open && sendAll(Socket, "0\r\n\r\n");
    Now.m_Ended = seconds();
    Now.m_Whole = Open;
    Now.m_ClosedByBox = !Open;
    m_Log.write("runner: %s %s", Id.c_str(),
                Open ? "ends, whole" : "ends: the box has closed the connection");
    const std::lock_guard Lock(m_Mutex);
    m_Runs[Id] = Now;
    return Open;
  }

  static bool sendEvent(int Socket, const std::string &Id, int Event) {
    const std::string Text = "id: " + std::to_string(Event) + "\ndata: " + Id +
                             " token token token token token\n\n";
    char Size[16];
    snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
    return sendAll(Socket, Size + Text + "\r\n");
  }

  Record &m_Log;
  Batch m_Batch;
  std::mutex m_Mutex;
  std::map<std::string, Run> m_Runs;
  Server m_Server;
};

struct Outcome {
  std::string m_Id;
  int m_Status = 0;
  int m_Events = 0;
  bool m_Whole = false;
  bool m_Closed = false;
  double m_Sent = 0;
  double m_Ended = 0;
};

/// Sends one stream and reads until it is whole, closed, or its deadline is
/// over. With an objective of 5 s this client waits 20 s for an event.
Outcome stream(Record &Log, const Box &To, const std::string &Path,
               const std::string &Id) {
  Outcome Result{.m_Id = Id};
  const int Socket = Box::connectTo(To.port());
  if (Socket < 0)
    return Result;
  const std::string Body(600, 'p');
  Result.m_Sent = seconds();
  sendAll(Socket, "POST " + Path + " HTTP/1.1\r\nHost: gym.example\r\n" +
                      "X-Attempt-Id: " + Id + "\r\n" +
                      "X-Deadline-Remaining-Ms: 20000\r\nContent-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body);
  Log.write("client: %s is sent to %s", Id.c_str(), To.name().c_str());
  Reader From(Socket);
  while (!Result.m_Whole && From.more(Result.m_Sent + Deadline))
    Result.m_Whole = From.text().ends_with("0\r\n\r\n");
  Result.m_Closed = From.closed();
  Result.m_Ended = seconds();
  if (From.text().starts_with("HTTP/1.1 "))
    Result.m_Status = std::stoi(From.text().substr(9, 3));
  for (std::size_t At = 0;
       (At = From.text().find("\nid: ", At)) != std::string::npos; ++At)
    ++Result.m_Events;
  close(Socket);
  Log.write("client: %s has status %d, %d events, %s", Id.c_str(),
            Result.m_Status, Result.m_Events,
            Result.m_Whole    ? "whole"
            : Result.m_Closed ? "the connection was closed before the end"
                              : "the deadline is over");
  return Result;
}

Json route(const char *Name, const char *Prefix, int Priority, int Target,
           int Timeout) {
  return {{"name", Name},
          {"host", "gym.example"},
          {"pathPrefix", Prefix},
          {"routeKind", "streaming"},
          {"timeoutMs", Timeout},
          {"targetLatencyMs", Target},
          {"gapTargetMs", 300},
          {"priority", Priority},
          {"service", "assist-lm"},
          {"maxAttempts", 1},
          {"resumable", false}};
}

int play(const std::string &Folder, const std::string &RecordPath,
         bool Trouble) {
  // Their threads may outlive this function.
  Record &Log = *new Record(RecordPath);
  Runner &Upstream = *new Runner(Log);
  Store &Platform = *new Store;
  Platform.put("op/config",
               {{"version", 7},
                {"routes",
                 {route("chat", "/chat/", 0, 1500, 20000),
                  route("draft", "/draft/", 1, 5000, 20000)}},
                {"services",
                 {{{"name", "assist-lm"},
                   {"healthPath", "/health"},
                   {"connectionLimit", 300}}}},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 5000}}}});
  Platform.put("servers/i-1", {{"service", "assist-lm"},
                               {"address", Upstream.address()},
                               {"zone", "kl-a"},
                               {"version", "v1"},
                               {"slots", Room},
                               {"state", "ready"},
                               {"coldRemainingMs", 0},
                               {"sequenceNumber", 1}});
  const int Ports = freePorts(20);
  const Json Seeds{"127.0.0.1:" + std::to_string(Ports + 2),
                   "127.0.0.1:" + std::to_string(Ports + 12)};
  Box First(Folder, 1, Platform.address(), Seeds, Ports);
  Box Second(Folder, 2, Platform.address(), Seeds, Ports + 10);
  while (!First.ready() || !Second.ready()) {
    if (seconds() > 20) {
      Log.write("the boxes are not ready");
      return 2;
    }
    sleepFor(0.1);
  }
  sleepFor(3);
  Log.write("both boxes are ready; limits.idleTimeoutMs is 5000");
  const double Start = seconds();
  std::vector<Outcome> Seen(Drafts + Room);
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < Drafts; ++Each)
    Clients.emplace_back([&, Each] {
      Seen[Each] = stream(Log, First, "/draft/2f",
                          "draft" + std::to_string(Each));
    });
  sleepUntil(Start + ChatsAfter);
  for (int Each = 0; Each < Room; ++Each)
    Clients.emplace_back([&, Each] {
      Seen[Drafts + Each] = stream(Log, Each % 2 == 0 ? First : Second,
                                   "/chat/2f", "chat" + std::to_string(Each));
    });
  sleepUntil(Start + TermAfter);
  const double Term = seconds();
  if (Trouble) {
    Log.write("SIGTERM to %s", First.name().c_str());
    First.signal(SIGTERM);
  }
  for (std::thread &Each : Clients)
    Each.join();
  sleepFor(0.3);
  int Chats = 0;
  int Lost = 0;
  for (const Outcome &Each : Seen) {
    Chats += Each.m_Id.starts_with("chat") && Each.m_Whole ? 1 : 0;
    if (Each.m_Id.starts_with("chat") || Each.m_Whole)
      continue;
    const Run At = Upstream.run(Each.m_Id);
    // The rule's excuses: the runner broke off, the deadline or the route's
    // timeout was reached, or the runner was at work in the last sixth of the
    // grace period.
    const bool RunnerBrokeOff = !At.m_ClosedByBox;
    const bool TimeOver = Each.m_Ended >= Each.m_Sent + Deadline - 0.1;
    const bool LastSixth = At.m_Ended >= Term + Grace * 5 / 6;
    const bool Around = Trouble && Each.m_Ended >= Term &&
                        Each.m_Ended <= Term + Grace + 1;
    const bool Counts = Each.m_Closed && At.m_Arrived > 0 && !RunnerBrokeOff &&
                        !TimeOver && !LastSixth && Around;
    Lost += Counts ? 1 : 0;
    Log.write("%s: closed without its end %.2f s after it was sent%s",
              Each.m_Id.c_str(), Each.m_Ended - Each.m_Sent,
              Counts    ? ", LOST"
              : Trouble ? ", excused"
                        : "; no planned work, so the rule does not count it");
  }
  if (Chats != Room) {
    Log.write("only %d of %d urgent streams were whole", Chats, Room);
    return 2;
  }
  Log.write("%d of %d streams were LOST", Lost, Drafts);
  return Lost > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 3)
    return 2;
  const char *Trouble = getenv("TROUBLE");
  int Result = 2;
  try {
    Result = play(Values[1], Values[2],
                  Trouble == nullptr || std::string(Trouble) != "0");
  } catch (const std::exception &Error) {
    fprintf(stderr, "%s\n", Error.what());
  }
  // Threads of the stand-ins may still run.
  fflush(nullptr);
  _exit(Result);
}
