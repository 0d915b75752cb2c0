// Requests whose path begins with two slashes, as clients send them that join a
// base address which ends with a slash and a path that begins with one.
//
// One machine of the system, two plain services with a runner each, and a
// client. The configuration has the routes /desk/ and /rooms/, and none whose
// prefix begins with two slashes.
//
// Exit code: 1 the rule ROUTE was broken, 0 it held, 2 the case couldn't run.
#include "Standin.h"

using namespace review;

namespace {

/// Requests that the client sends with the disruption and without it.
constexpr int Requests = 10;

Json route(const char *Name, const char *Prefix, const char *Kind,
           const char *Service) {
  return {{"name", Name},
          {"host", "desk.example"},
          {"pathPrefix", Prefix},
          {"routeKind", Kind},
          {"timeoutMs", 1000},
          {"targetLatencyMs", 150},
          {"priority", 2},
          {"service", Service},
          {"maxAttempts", 1}};
}

Json config() {
  const auto Service = [](const char *Name) {
    return Json{{"name", Name},
                {"healthPath", "/health"},
                {"connectionLimit", 100},
                {"protocol", "h1"}};
  };
  return {{"version", 1},
          {"routes", Json::array({route("desk", "/desk/", "safe", "desk-app"),
                                  route("rooms", "/rooms/", "unsafe",
                                        "room-app")})},
          {"services", Json::array({Service("desk-app"), Service("room-app")})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// A runner of one service; it counts what it runs.
class PlainRunner {
public:
  PlainRunner(std::string Service, std::string Host, int Port, Record &Log)
      : m_Service(std::move(Service)),
        m_Address(Host + ":" + std::to_string(Port)), m_Log(Log),
        m_Server(Host, Port, [this](const Message &Request, Wire &Back) {
          return handle(Request, Back);
        }) {}
  bool start(Store &List) {
    List.put("servers/i-" + m_Service, Json{{"service", m_Service},
                                            {"address", m_Address},
                                            {"zone", "kl-a"},
                                            {"version", "v1"},
                                            {"slots", 6},
                                            {"state", "ready"},
                                            {"coldRemainingMs", 0},
                                            {"sequenceNumber", 0}}
                                           .dump());
    return m_Server.start();
  }
  int runs() const { return m_Runs; }

private:
  bool handle(const Message &Request, Wire &Back) {
    if (Request.target() == "/health")
      return Back.send(
          answer(200, "", "X-Instance-Id: i-" + m_Service + "\r\n"));
    ++m_Runs;
    const std::string Id = Request.header("X-Attempt-Id");
    m_Log.write("the runner of %s runs %s: %s", m_Service.c_str(), Id.c_str(),
                Request.First.c_str());
    return Back.send(answer(200, "from " + m_Service,
                            "X-Attempt-Id: " + Id + "\r\nX-Server-Signature: " +
                                m_Service + "." + Id + "\r\n"));
  }

  std::string m_Service, m_Address;
  Record &m_Log;
  std::atomic<int> m_Runs{0};
  Server m_Server;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = getenv("TROUBLE") == nullptr ||
                       std::string(getenv("TROUBLE")) != "0";
  Record Log(Arguments[1]);
  const std::string Host = "127.32.0.1", Runners = "127.32.0.2",
                    Platform = "127.32.0.3";
  const int Port = freePorts({Host, Runners, Platform});
  Store List(Platform, Port);
  PlainRunner Desk("desk-app", Runners, Port, Log);
  PlainRunner Rooms("room-app", Runners, Port + 1, Log);
  if (!List.start() || !Desk.start(List) || !Rooms.start(List))
    return 2;
  List.put("op/config", config().dump());
  Machine Box({.Name = "frontend-kl-a-1",
               .Zone = "kl-a",
               .Address = Host,
               .Folder = Arguments[2],
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
  sleepFor(1);

  // With one slash: the route /desk/ has it. With two: no route begins it.
  const std::string Path = Trouble ? "//desk/rooms/7" : "/desk/rooms/7";
  const int Wanted = Trouble ? 404 : 200;
  int AsWanted = 0;
  for (int Each = 0; Each < Requests; ++Each) {
    const int Fd = connectTo(Host, Box.clients(), 1);
    if (Fd < 0)
      return 2;
    Wire Connection(Fd);
    const std::string Id = "attempt-" + std::to_string(Each);
    Message Answer;
    if (!Connection.send("GET " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
                         "X-Attempt-Id: " + Id +
                         "\r\nX-Deadline-Remaining-Ms: 1000\r\n\r\n") ||
        !Connection.read(Answer, 2))
      return 2;
    Log.write("client sent GET %s as %s; it gets %d, signature '%s', body '%s'",
              Path.c_str(), Id.c_str(), Answer.status(),
              Answer.header("X-Server-Signature").c_str(),
              Answer.status() == 200 ? Answer.Body.c_str() : "(own)");
    AsWanted += Answer.status() == Wanted ? 1 : 0;
  }
  Log.write("%d of %d got %d; runs: desk-app %d, room-app %d", AsWanted,
            Requests, Wanted, Desk.runs(), Rooms.runs());
  // No configuration leads /desk/... or //desk/... of this host to room-app.
  const bool Broken = Rooms.runs() > 0;
  Log.write(Broken ? "ROUTE is broken: a service ran requests that no "
                     "configuration allows to reach it"
                   : "ROUTE held");
  return Broken ? 1 : AsWanted == Requests ? 0 : 2;
}
