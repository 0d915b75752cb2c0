// A planned stop of a machine while a client still reads its answer.
//
// One machine of the system, one plain runner and two clients. Both send one
// request; the runner answers each at once and whole. One client reads at once,
// the other one slowly. Then the machine gets SIGTERM; the slow client would
// have its whole answer within gracePeriodS.
//
// Exit code: 1 the rule LOST was broken, 0 it held, 2 the case couldn't run.
#include "Standin.h"

using namespace review;

namespace {

constexpr std::size_t AnswerBytes = 3'000'000;
constexpr double ReadBytesPerS = 450'000; ///< Of the slow client: 6.7 s in all.
constexpr int DeadlineMs = 15000;
constexpr int GraceS = 8;

Json config() {
  return {{"version", 1},
          {"routes",
           Json::array({{{"name", "sheet"},
                         {"host", "desk.example"},
                         {"pathPrefix", "/sheet/"},
                         {"routeKind", "unsafe"},
                         {"timeoutMs", DeadlineMs},
                         {"targetLatencyMs", 1000},
                         {"priority", 2},
                         {"service", "desk-app"},
                         {"maxAttempts", 1}}})},
          {"services", Json::array({{{"name", "desk-app"},
                                     {"healthPath", "/health"},
                                     {"connectionLimit", 100},
                                     {"protocol", "h1"}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

struct Outcome {
  std::string Head;
  std::size_t Wanted = 0, Got = 0;
  double EndedAt = 0;
  bool Closed = false;
  bool complete() const { return Wanted > 0 && Got >= Wanted; }
};

/// Sends one request and reads its answer at \p BytesPerS. The socket has the
/// segment size of an Ethernet, as a client elsewhere would have; on loopback
/// the kernel alone would else hold megabytes.
Outcome ask(const Machine &At, const std::string &Id, double BytesPerS,
            Record &Log) {
  Outcome Result;
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Segment = 1448, Buffer = 32768;
  setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Buffer, sizeof(Buffer));
  const sockaddr_in To = addressOf(At.address(), At.clients());
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) != 0) {
    close(Fd);
    return Result;
  }
  Wire Connection(Fd);
  Connection.send("POST /sheet/1 HTTP/1.1\r\nHost: desk.example\r\n"
                  "X-Attempt-Id: " +
                  Id + "\r\nX-Deadline-Remaining-Ms: " +
                  std::to_string(DeadlineMs) + "\r\nContent-Length: 2\r\n\r\n{}");
  Log.write("client %s sent its request to %s", Id.c_str(), At.name().c_str());
  const double Start = seconds();
  std::string Text;
  std::size_t Taken = 0, BodyAt = std::string::npos;
  while (seconds() < Start + DeadlineMs / 1000.0) {
    const double Due = Start + static_cast<double>(Taken) / BytesPerS;
    if (Due > seconds())
      sleepFor(std::min(0.05, Due - seconds()));
    if (Due > seconds())
      continue;
    char Bytes[8192];
    pollfd Poll{Fd, POLLIN, 0};
    if (poll(&Poll, 1, 200) <= 0)
      continue;
    const ssize_t Got = recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Got <= 0) {
      Result.Closed = true;
      break;
    }
    Taken += static_cast<std::size_t>(Got);
    Text.append(Bytes, static_cast<std::size_t>(Got));
    if (BodyAt == std::string::npos) {
      const auto End = Text.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      BodyAt = End + 4;
      Result.Head = Text.substr(0, Text.find("\r\n"));
      const auto Length = lower(Text.substr(0, End)).find("content-length:");
      Result.Wanted = Length == std::string::npos
                          ? 0
                          : strtoul(Text.c_str() + Length + 15, nullptr, 10);
      Log.write("client %s has the head: %s, %zu bytes to come", Id.c_str(),
                Result.Head.c_str(), Result.Wanted);
    }
    Result.Got = Text.size() - BodyAt;
    if (Result.complete())
      break;
  }
  Result.EndedAt = seconds();
  Log.write("client %s: %zu of %zu bytes after %.1f s, %s", Id.c_str(),
            Result.Got, Result.Wanted, Result.EndedAt - Start,
            Result.complete() ? "complete"
            : Result.Closed   ? "the connection was closed before the end"
                              : "given up at its deadline");
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = getenv("TROUBLE") == nullptr ||
                       std::string(getenv("TROUBLE")) != "0";
  Record Log(Arguments[1]);
  const std::string Folder = Arguments[2];
  const std::string Host = "127.31.0.1", Runners = "127.31.0.2",
                    Platform = "127.31.0.3";
  const int Port = freePorts({Host, Runners, Platform});

  Store List(Platform, Port);
  Server Runner(Runners, Port, [&](const Message &Request, Wire &Back) {
    if (Request.target() == "/health")
      return Back.send(answer(200, "", "X-Instance-Id: i-desk-1\r\n"));
    const std::string Id = Request.header("X-Attempt-Id");
    Log.write("the runner runs %s and answers it whole", Id.c_str());
    return Back.send(answer(200, std::string(AnswerBytes, 'x'),
                            "X-Attempt-Id: " + Id +
                                "\r\nX-Server-Signature: desk." + Id + "\r\n"));
  });
  if (!List.start() || !Runner.start())
    return 2;
  List.put("op/config", config().dump());
  List.put("servers/i-desk-1",
           Json{{"service", "desk-app"},
                {"address", Runners + ":" + std::to_string(Port)},
                {"zone", "kl-a"},
                {"version", "v1"},
                {"slots", 6},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"sequenceNumber", 0}}
               .dump());
  Machine Box({.Name = "frontend-kl-a-1",
               .Zone = "kl-a",
               .Address = Host,
               .Folder = Folder,
               .Store = Platform + ":" + std::to_string(Port),
               .FirstPort = Port,
               .Seeds = {Host + ":" + std::to_string(Port + 2)},
               .Zones = {{"kl-a", "my-central"}},
               .Bounds = smallBounds()});
  Box.start();
  for (int Try = 0; Try < 100 && !Box.ready(); ++Try)
    sleepFor(0.1);
  if (!Box.ready())
    return 2;
  sleepFor(2);

  Outcome Quick, Slow;
  std::thread First([&] { Quick = ask(Box, "quick-1", 1e9, Log); });
  std::thread Second([&] { Slow = ask(Box, "slow-1", ReadBytesPerS, Log); });
  sleepFor(0.5);
  const double StoppedAt = seconds();
  double ExitAt = 0;
  if (Trouble) {
    Log.write("SIGTERM to %s; SIGKILL would come in %d s", Box.name().c_str(),
              GraceS);
    Box.signal(SIGTERM);
    while (seconds() < StoppedAt + GraceS && !Box.ended())
      sleepFor(0.01);
    ExitAt = seconds();
    Log.write("the process has ended %.1f s after SIGTERM", ExitAt - StoppedAt);
    Box.kill(SIGKILL);
  }
  First.join();
  Second.join();
  Box.kill(SIGKILL);
  Runner.stop();
  List.stop();
  if (!Quick.complete()) {
    Log.write("not run: the quick client has no answer");
    return 2;
  }
  const bool Lost =
      Slow.Closed && !Slow.complete() && Slow.EndedAt < StoppedAt + GraceS + 1;
  Log.write(Lost ? "LOST is broken: the request was read and run, and its "
                   "connection was closed without the complete answer"
                 : "LOST held");
  return Lost ? 1 : Slow.complete() ? 0 : 2;
}
