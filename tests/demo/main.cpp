/// \file
/// `make demo`: the whole path in separate processes, each step checked.
#include "support/TestSystem.h"
#include "wire/common/Crypto.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

using namespace havenstair;

int Failures = 0;

void title(const std::string &Text) { std::cout << "\n== " << Text << "\n"; }

void check(bool Good, const std::string &What) {
  std::cout << (Good ? "  ok    " : "  FAIL  ") << What << std::endl;
  Failures += Good ? 0 : 1;
}

void show(const std::string &Text) {
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    std::cout << "        " << Line << "\n";
}

void showCommand(TestSystem &System, const std::string &Box,
                 const std::vector<std::string> &Arguments) {
  std::string Words = "havenstair";
  for (const std::string &Argument : Arguments)
    Words += " " + Argument;
  int Status = 0;
  const std::string Output = System.commandLine(Box, Arguments, Status);
  std::cout << "      $ " << Words << "\n";
  show(Output);
  check(Status == 0, Words + " exits with 0");
}

void startAll(TestSystem &System) {
  title("Stand-ins and boxes, each its own process");
  System.addEngine("engine-a", "kl-1");
  System.addEngine("engine-b", "kl-1");
  System.addEngine("engine-c", "kl-1", false);
  System.addService("bookings-1", "kl-1", "booking");
  System.publishUpstreams();
  System.addBox("box-1", "kl-1");
  System.addBox("box-2", "kl-1");
  System.addBox("box-3", "penang-1");
  const bool Owned = System.waitFor([&] {
    const Json View = System.admin("box-1", "/admin/v1/upstreams");
    if (View.is_null() || View.at("upstreams").size() != 4)
      return false;
    for (const Json &Each : View.at("upstreams"))
      if (!fieldOr<bool>(Each, "ready", false))
        return false;
    return true;
  });
  check(Owned, "every upstream has an owner that knows its ledger");
}

void setTable(TestSystem &System, const std::string &Folder) {
  title("The operators' table");
  const std::string Models = Folder + "/models.json";
  std::ofstream(Models) << R"({"models": [
    {"name": "plans", "size_mib": 6000},
    {"name": "notes", "size_mib": 7000},
    {"name": "answers", "size_mib": 5000},
    {"name": "answers-malay", "size_mib": 200, "base": "answers"}]})";
  showCommand(System, "box-1", {"models", "import", Models});
  showCommand(System, "box-1",
              {"group", "add", "trainers", "--set", "weight=3", "--set",
               "models=plans notes", "--set", "services=booking", "--set",
               "key_hashes=" + sha256Hex("key-trainers")});
  showCommand(System, "box-2",
              {"group", "add", "members", "--set",
               "models=answers answers-malay", "--set",
               "key_hashes=" + sha256Hex("key-members")});
  const bool Everywhere = System.waitFor([&] {
    for (const char *Box : {"box-1", "box-2", "box-3"})
      if (System.admin(Box, "/admin/v1/table").at("rows").size() != 2)
        return false;
    return true;
  });
  check(Everywhere, "both rows are in force on all three boxes");
  showCommand(System, "box-3", {"table", "show"});
}

void serveRequests(TestSystem &System) {
  title("Models get resident, and a caller's stream comes back");
  check(System.waitServing("box-1",
                           {"plans", "notes", "answers", "answers-malay"}),
        "all models and the adapter are resident");
  showCommand(System, "box-1", {"upstreams"});
  const HttpAnswer Stream =
      System.complete("box-1", "trainers", "plans", "warm-up", true, 6);
  show(Stream.m_Body);
  check(streamedText(Stream.m_Body) == expectedText("warm-up", 6),
        "the whole stream came back");
  const std::string Id = findHeader(Stream.m_Headers, "Havenstair-Request-Id");
  showCommand(System, "box-1", {"explain", Id});
  const HttpAnswer Other =
      System.complete("box-2", "members", "plans", "x", false);
  check(Other.m_Status == 404, "a group cannot call what it was not given");
  HttpAnswer Far;
  System.waitFor([&] {
    Far = System.complete("box-3", "members", "answers", "jauh", true, 4);
    return Far.ok();
  });
  check(streamedText(Far.m_Body) == expectedText("jauh", 4),
        "a box of another data centre reaches the model too");
}

void bookOnce(TestSystem &System) {
  title("A booking, marked unsafe, runs once");
  std::string Key;
  HttpAnswer First;
  // Keys minted before the owner of their slice took over are not run.
  System.waitFor([&] {
    Key = makeUuidV7(EventLoop::wallMillis());
    First = System.book("box-1", "trainers", Key, R"({"class":"spin"})");
    return First.ok();
  });
  check(First.ok(), "booked: " + First.m_Body);
  const HttpAnswer Again =
      System.book("box-2", "trainers", Key, R"({"class":"spin"})");
  check(Again.ok() && Again.m_Body == First.m_Body,
        "the same key through another box gives the first answer");
  const HttpAnswer Reused =
      System.book("box-2", "trainers", Key, R"({"class":"yoga"})");
  show(Reused.m_Body);
  check(Reused.m_Status == 422, "another request under that key is refused");
  const HttpAnswer Counts =
      System.client().call(System.upstream("bookings-1").m_Address,
                           HttpMethod::Get, "/standin/executions");
  const Json ByKey = parseJson(Counts.m_Body).at("by_key");
  check(ByKey.at(Key) == 1, "the service executed it once");
}

void killOwner(TestSystem &System) {
  title("The box that owns the model's engine is killed");
  std::string Owner;
  const Json View = System.admin("box-1", "/admin/v1/upstreams");
  for (const Json &Each : View.at("upstreams"))
    for (const Json &Name : fieldOr<Json>(Each, "serving", Json::array()))
      if (Name == "plans")
        Owner = Each.at("owner").get<std::string>();
  const std::string Victim = Owner.substr(0, Owner.find('~'));
  const std::string Survivor = Victim == "box-1" ? "box-2" : "box-1";
  System.box(Victim).m_Process->signal(SIGKILL);
  std::cout << "        killed " << Owner << "\n";
  int Answered = 0;
  for (int Index = 0; Index < 10; ++Index) {
    const std::string Prompt = "after-" + std::to_string(Index);
    const HttpAnswer Answer =
        System.complete(Survivor, "trainers", "plans", Prompt, true, 3);
    Answered += streamedText(Answer.m_Body) == expectedText(Prompt, 3) ? 1 : 0;
  }
  check(Answered == 10,
        std::to_string(Answered) + " of 10 later requests were answered whole");
  const bool Taken = System.waitFor([&] {
    const Json View = System.admin(Survivor, "/admin/v1/upstreams");
    for (const Json &Each : View.at("upstreams"))
      if (Each.at("owner") == Owner)
        return false;
    return true;
  });
  check(Taken, "the other box has taken all upstreams over");
  showCommand(System, Survivor, {"boxes"});
  title("Moves and their reasons");
  showCommand(System, Survivor, {"moves"});
  std::uint64_t Overcommits = 0;
  for (const char *Engine : {"engine-a", "engine-b", "engine-c"}) {
    const HttpAnswer Stats = System.client().call(
        System.upstream(Engine).m_Address, HttpMethod::Get, "/standin/stats");
    Overcommits += field<std::uint64_t>(parseJson(Stats.m_Body), "overcommits");
  }
  check(Overcommits == 0, "no engine's memory was ever overcommitted");
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 2) {
    std::cerr << "usage: havenstair-demo FOLDER-OF-BINARIES\n";
    return 2;
  }
  char Template[] = "/tmp/havenstair-demo-XXXXXX";
  const std::string Folder = mkdtemp(Template);
  TestSystem System(
      {.m_Programs = Values[1], .m_LogFile = Folder + "/log.txt"});
  startAll(System);
  setTable(System, Folder);
  serveRequests(System);
  bookOnce(System);
  killOwner(System);
  std::cout << "\n"
            << (Failures == 0 ? "All steps were checked."
                              : std::to_string(Failures) + " steps failed.")
            << " Logs: " << Folder << "/log.txt\n";
  return Failures == 0 ? 0 : 1;
}
