// Case: a machine gets SIGTERM while callers on slow links read their answers.
// Its process ends some seconds before the grace period does, with the rest of
// these answers in its memory.
#include "Standin.h"

using namespace review;

namespace {

constexpr int Boxes = 2;
constexpr int SlowClients = 3; ///< At each machine.
/// An answer of 2.2 MB over a link of 300 KB/s (2.4 Mbit/s) takes 7.3 s.
constexpr std::size_t AnswerBytes = 2200000;
constexpr std::size_t BytesPerS = 300000;
constexpr int DeadlineMs = 15000;
constexpr double GraceS = 8;
/// The machines get SIGTERM in turn, this long after their slow callers have
/// sent their requests, and start again once they have ended.
constexpr double TermAfter = 1;

struct Count {
  std::atomic<int> Sent{0}, Whole{0}, Short{0}, Other{0};
};

std::mutex TermMutex;
std::map<std::string, double> TermAt; ///< By machine.

/// Sends one request and reads its answer at the speed of a slow link.
void readSlowly(int Number, const Machine &To, Count &Counts, Record &Log) {
  const std::string Id = "s" + std::to_string(Number);
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // As on a usual network: segments of 1,460 bytes, and a window that a slow
  // link has.
  int Segment = 1460, Window = 16384;
  setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
  const sockaddr_in At = addressOf(To.address(), To.clients());
  ++Counts.Sent;
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) != 0) {
    close(Fd);
    ++Counts.Other;
    return;
  }
  const std::string Request =
      "GET /plan/week HTTP/1.1\r\nHost: gym.example\r\nX-Attempt-Id: " + Id +
      "\r\nX-Deadline-Remaining-Ms: " + std::to_string(DeadlineMs) + "\r\n\r\n";
  const double Sent = seconds();
  send(Fd, Request.data(), Request.size(), MSG_NOSIGNAL);
  std::string Got;
  std::size_t Wanted = 0;
  char Buffer[6000];
  while (seconds() < Sent + DeadlineMs / 1000.0) {
    const ssize_t Now = recv(Fd, Buffer, sizeof(Buffer), 0);
    if (Now <= 0)
      break;
    Got.append(Buffer, static_cast<std::size_t>(Now));
    const auto Head = Got.find("\r\n\r\n");
    if (Wanted == 0 && Head != std::string::npos)
      Wanted = Head + 4 + AnswerBytes;
    if (Wanted != 0 && Got.size() >= Wanted)
      break;
    sleepFor(static_cast<double>(Now) / BytesPerS);
  }
  close(Fd);
  const double Ended = seconds();
  const bool Ok = Got.starts_with("HTTP/1.1 200") &&
                  lower(Got.substr(0, 2000)).find("x-server-signature") !=
                      std::string::npos;
  double Term = 0;
  {
    std::lock_guard Lock(TermMutex);
    if (const auto Found = TermAt.find(To.name()); Found != TermAt.end())
      Term = Found->second;
  }
  const bool Whole = Ok && Wanted != 0 && Got.size() == Wanted;
  Log.write("client %s at %s: GET /plan/week -> %s, %zu of %zu bytes, ended "
            "%.2f s after it was sent, %.2f s after the SIGTERM",
            Id.c_str(), To.name().c_str(), Got.substr(0, 12).c_str(), Got.size(),
            Wanted, Ended - Sent, Term == 0 ? 0.0 : Ended - Term);
  if (Whole)
    ++Counts.Whole;
  else if (Ok && Ended < Sent + DeadlineMs / 1000.0)
    ++Counts.Short;
  else
    ++Counts.Other;
}

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  Record Log(Arguments[1]);
  const std::string Other = "127.0.73.100";
  std::vector<std::string> Hosts;
  for (int Each = 0; Each < Boxes; ++Each)
    Hosts.push_back("127.0.73." + std::to_string(1 + Each));
  auto All = Hosts;
  All.push_back(Other);
  const int Port = freePorts(All);
  Store Platform(Other, Port);
  if (!Platform.start())
    return 2;
  Platform.put(
      "op/config",
      Json{{"version", 1},
           {"routes", Json::array({{{"name", "plan"},
                                    {"host", "gym.example"},
                                    {"pathPrefix", "/plan/"},
                                    {"routeKind", "safe"},
                                    {"timeoutMs", DeadlineMs},
                                    {"targetLatencyMs", 1500},
                                    {"priority", 1},
                                    {"service", "desk-app"},
                                    {"maxAttempts", 2},
                                    {"resumable", false}}})},
           {"services", Json::array({{{"name", "desk-app"},
                                      {"healthPath", "/health"},
                                      {"connectionLimit", 100},
                                      {"protocol", "h1"}}})},
           {"limits",
            {{"maxHeaderBytes", 16384},
             {"maxBodyBytes", 4194304},
             {"headerTimeoutMs", 3000},
             {"idleTimeoutMs", 15000}}}}
          .dump());
  std::vector<std::unique_ptr<Server>> Runners;
  for (int Each = 0; Each < 3; ++Each) {
    const std::string Id = "i-" + std::to_string(Each);
    Runners.push_back(std::make_unique<Server>(
        Other, Port + 1 + Each, [&Log, Id](const Message &Request, Wire &Back) {
          const std::string Attempt = Request.header("X-Attempt-Id");
          if (Request.target() == "/health")
            return Back.send(answer(200, "", "X-Instance-Id: " + Id + "\r\n"));
          sleepFor(0.03);
          const bool Sent = Back.send(
              answer(200, std::string(AnswerBytes, 'p'),
                     "X-Attempt-Id: " + Attempt + "\r\nX-Server-Signature: " +
                         Id + "." + Attempt + "\r\n"));
          Log.write("runner %s has run and answered %s", Id.c_str(),
                    Attempt.c_str());
          return Sent;
        }));
    if (!Runners.back()->start())
      return 2;
    Platform.put("servers/" + Id,
                 Json{{"service", "desk-app"},
                      {"address", Other + ":" + std::to_string(Port + 1 + Each)},
                      {"zone", "kl-a"},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"sequenceNumber", 0}}
                     .dump());
  }
  std::vector<std::unique_ptr<Machine>> System;
  for (int Each = 0; Each < Boxes; ++Each) {
    System.push_back(std::make_unique<Machine>(Machine::Options{
        .Name = "frontend-" + std::to_string(1 + Each),
        .Zone = "kl-a",
        .Address = Hosts[static_cast<std::size_t>(Each)],
        .Folder = Arguments[2],
        .Store = Other + ":" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = {Hosts[0] + ":" + std::to_string(Port + 2)},
        .Zones = {{"kl-a", "my-central"}},
        .Bounds = smallBounds()}));
    System.back()->start();
  }
  sleepFor(6 - seconds());
  for (const auto &Each : System)
    if (!Each->ready()) {
      Log.write("%s is not ready", Each->name().c_str());
      return 2;
    }
  Count Counts;
  int Number = 0;
  for (const auto &Each : System) {
    std::vector<std::thread> Clients;
    for (int Client = 0; Client < SlowClients; ++Client, ++Number)
      Clients.emplace_back([&, Number] {
        readSlowly(Number, *Each, Counts, Log);
      });
    sleepFor(TermAfter);
    if (Trouble) {
      const double At = seconds();
      {
        std::lock_guard Lock(TermMutex);
        TermAt[Each->name()] = At;
      }
      Log.write("%s gets SIGTERM", Each->name().c_str());
      Each->signal(SIGTERM);
      while (!Each->ended() && seconds() < At + GraceS)
        sleepFor(0.01);
      Log.write("%s has ended %.2f s after the SIGTERM (gracePeriodS %.0f)",
                Each->name().c_str(), seconds() - At, GraceS);
      Each->kill(SIGKILL);
      Each->start();
    }
    for (std::thread &Client : Clients)
      Client.join();
    sleepFor(4);
  }
  const bool Broken = Counts.Short > 0;
  Log.write("%d sent, %d answered whole, %d cut short, %d else",
            Counts.Sent.load(), Counts.Whole.load(), Counts.Short.load(),
            Counts.Other.load());
  Log.write("LOST: %d answers cut short around a SIGTERM: %s",
            Counts.Short.load(), Broken ? "BROKEN" : "held");
  if (!Trouble && Counts.Whole == 0)
    return 2;
  return Broken ? 1 : 0;
}
