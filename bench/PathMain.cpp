/// \file
/// `make bench`, second table: what the real path costs, with real processes
/// on loopback. Everything is measured in the same run.
#include "support/TestSystem.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace {

using namespace havenstair;

constexpr std::uint64_t Seed = 20261202;

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Part * static_cast<double>(Values.size() - 1))];
}

/// User and system time of a process so far, in seconds.
double cpuSeconds(pid_t Id) {
  std::ifstream Stat("/proc/" + std::to_string(Id) + "/stat");
  std::string Word;
  double Ticks = 0;
  for (int Field = 1; Stat >> Word; ++Field)
    if (Field == 14 || Field == 15)
      Ticks += std::stod(Word);
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMiB(pid_t Id) {
  std::ifstream Status("/proc/" + std::to_string(Id) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stod(Line.substr(6)) / 1024;
  return 0;
}

/// Sends whole requests at an even rate. \returns their times in ms.
std::vector<double> timeRequests(TestSystem &System, const Endpoint &To,
                                 const std::string &Target, int Rate, int Count,
                                 const std::string &Body) {
  std::vector<double> Times;
  int Started = 0;
  int Ended = 0;
  TestClient &Client = System.client();
  const auto StartOne = [&] {
    if (Started == Count)
      return;
    ++Started;
    const TimePoint Began = EventLoop::now();
    Client.start(To, HttpMethod::Post, Target, Body,
                 TestSystem::callerHeaders("g"),
                 [&, Began](const HttpAnswer &Answer) {
                   ++Ended;
                   const Duration Took = EventLoop::now() - Began;
                   if (Answer.ok())
                     Times.push_back(static_cast<double>(Took.count()) / 1000);
                 });
  };
  const Timer Pace = Client.loop().every(Duration(1000000 / Rate), StartOne);
  Client.runUntil([&] { return Ended == Count; }, 120s);
  return Times;
}

void addedTime(TestSystem &System, const std::string &Box,
               const std::string &What, const Endpoint &Direct) {
  const std::string Body =
      TestSystem::completionBody("plans", "bench", false, 0);
  const auto Straight =
      timeRequests(System, Direct, "/v1/completions", 200, 2000, Body);
  const auto Through = timeRequests(System, System.box(Box).m_Callers,
                                    "/v1/completions", 200, 2000, Body);
  std::printf(
      "%-38s direct p50 %.2f p99 %.2f ms; through p50 %.2f p99 %.2f "
      "ms; added %.2f and %.2f ms (%zu of 2000 answered)\n",
      What.c_str(), percentile(Straight, 0.5), percentile(Straight, 0.99),
      percentile(Through, 0.5), percentile(Through, 0.99),
      percentile(Through, 0.5) - percentile(Straight, 0.5),
      percentile(Through, 0.99) - percentile(Straight, 0.99), Through.size());
}

/// Keeps \p Width requests open for a while. \returns answers a second.
double throughput(TestSystem &System, const Endpoint &To, int Width,
                  const std::string &Body, std::uint64_t &Bytes) {
  TestClient &Client = System.client();
  std::uint64_t Answered = 0;
  bool Stopping = false;
  int Open = 0;
  std::function<void()> StartOne = [&] {
    ++Open;
    Client.start(To, HttpMethod::Post, "/v1/completions", Body,
                 TestSystem::callerHeaders("g"), [&](const HttpAnswer &Answer) {
                   --Open;
                   Answered += Answer.ok() ? 1 : 0;
                   Bytes += Answer.m_Body.size();
                   if (!Stopping)
                     StartOne();
                 });
  };
  for (int Count = 0; Count < Width; ++Count)
    StartOne();
  const TimePoint Began = EventLoop::now();
  Client.runUntil([] { return false; }, 4s);
  const double Seconds =
      static_cast<double>((EventLoop::now() - Began).count()) / 1e6;
  const double Rate = static_cast<double>(Answered) / Seconds;
  Stopping = true;
  Client.runUntil([&] { return Open == 0; }, 30s);
  return Rate;
}

void boxLoad(TestSystem &System, const std::string &Box) {
  const pid_t Id = System.box(Box).m_Process->id();
  const Endpoint To = System.box(Box).m_Callers;
  std::uint64_t Bytes = 0;
  double Cpu = cpuSeconds(Id);
  const std::string Short = TestSystem::completionBody("plans", "b", false, 0);
  const double Rate = throughput(System, To, 32, Short, Bytes);
  Cpu = cpuSeconds(Id) - Cpu;
  std::printf("short requests: %.0f a second taken, %.0f us of the box's "
              "processor for each\n",
              Rate, Cpu * 1e6 / (Rate * 4));
  Cpu = cpuSeconds(Id);
  const std::string Long = TestSystem::completionBody("plans", "b", true, 400);
  const double Streams = throughput(System, To, 8, Long, Bytes);
  Cpu = cpuSeconds(Id) - Cpu;
  std::printf("streams: %.0f tokens a second, %.1f us of the box's processor "
              "for each token\n",
              Streams * 400, Cpu * 1e6 / (Streams * 400 * 4));
  std::printf("resident memory of the box: %.1f MiB\n", residentMiB(Id));
}

/// A counter of the box's own metrics, by the value of its one label.
std::map<std::string, double>
counters(TestSystem &System, const std::string &Box, const std::string &Name) {
  std::map<std::string, double> Result;
  std::istringstream Text(
      System.adminSend(Box, HttpMethod::Get, "/metrics", Json(), {}).m_Body);
  for (std::string Line; std::getline(Text, Line);) {
    if (!Line.starts_with(Name + "{"))
      continue;
    const std::size_t Begin = Line.find('"') + 1;
    const std::size_t End = Line.find('"', Begin);
    Result[Line.substr(Begin, End - Begin)] =
        std::stod(Line.substr(Line.rfind(' ')));
  }
  return Result;
}

void printRates(const char *What, const std::map<std::string, double> &Before,
                const std::map<std::string, double> &After) {
  for (const auto &[Label, Value] : After) {
    const auto Found = Before.find(Label);
    const double Old = Found == Before.end() ? 0 : Found->second;
    std::printf("idle box, %s a second, %s: %.2f\n", What, Label.c_str(),
                (Value - Old) / 10);
  }
}

void idleCost(TestSystem &System, const std::string &Box) {
  const std::string Bytes = "havenstair_peer_bytes_total";
  const std::string Calls = "havenstair_platform_calls_total";
  const pid_t Id = System.box(Box).m_Process->id();
  const auto BytesBefore = counters(System, Box, Bytes);
  const auto CallsBefore = counters(System, Box, Calls);
  const double Cpu = cpuSeconds(Id);
  System.client().runUntil([] { return false; }, 10s);
  std::printf("idle box, 10 s: %.2f %% of a core, %.1f MiB resident\n",
              (cpuSeconds(Id) - Cpu) * 10, residentMiB(Id));
  printRates("peer bytes", BytesBefore, counters(System, Box, Bytes));
  printRates("platform calls", CallsBefore, counters(System, Box, Calls));
}

/// Time from the operator's answer until the other box has the edit in force.
void editToEverywhere(TestSystem &System, const std::string &Box,
                      const std::string &Other) {
  const std::string Path = "/admin/v1/groups/g";
  std::vector<double> Times;
  for (int Number = 0; Number < 100; ++Number) {
    Json Row = System.admin(Box, Path);
    const std::string Tag = "\"" + Row.at("version").dump() + "\"";
    Row["weight"] = Number + 2;
    System.adminSend(Box, HttpMethod::Put, Path, Row, {{"If-Match", Tag}});
    const TimePoint Accepted = EventLoop::now();
    while (System.admin(Other, Path).at("weight") != Number + 2)
      continue;
    const Duration Took = EventLoop::now() - Accepted;
    Times.push_back(static_cast<double>(Took.count()) / 1000);
  }
  std::printf("edit to the other box, 100 edits: p50 %.1f p99 %.1f max %.1f "
              "ms\n",
              percentile(Times, 0.5), percentile(Times, 0.99),
              percentile(Times, 1));
}

} // namespace

int main(int Count, char **Values) {
  if (Count < 2) {
    std::cerr << "usage: havenstair-bench-path FOLDER-OF-BINARIES [idle]\n";
    return 2;
  }
  std::printf("seed %llu; stand-ins, boxes and load share this machine\n",
              static_cast<unsigned long long>(Seed));
  TestSystem System({.m_Programs = Values[1]});
  System.addEngine("engine-a", "kl", true, {"--token-ms", "0"});
  System.upstream("engine-a").m_Listed["Service"]["Meta"]["slots"] = "64";
  System.publishUpstreams();
  const std::vector<std::string> Usual{"--digest-ms", "1000", "--deadline-ms",
                                       "10000"};
  System.addBox("box-1", "kl", Usual);
  System.addBox("box-2", "kl", Usual);
  System.waitFor([&] {
    const Json View = System.admin("box-1", "/admin/v1/upstreams");
    return !View.is_null() && View.at("upstreams").size() == 1 &&
           fieldOr<bool>(View.at("upstreams").at(0), "ready", false);
  });
  System.setModels("box-1", {{"plans", 6000}});
  System.addGroup("box-1", "g", {"plans"}, {}, {{"first_token_ms", 10000}});
  System.waitServing("box-1", {"plans"});
  System.waitServing("box-2", {"plans"});
  const Json View = System.admin("box-1", "/admin/v1/upstreams");
  const auto Owner = View.at("upstreams").at(0).at("owner").get<std::string>();
  const std::string Owning = Owner.substr(0, Owner.find('~'));
  const std::string Other = Owning == "box-1" ? "box-2" : "box-1";
  const Endpoint Direct = System.upstream("engine-a").m_Address;
  idleCost(System, Other);
  editToEverywhere(System, Owning, Other);
  if (Count == 3)
    return 0;
  addedTime(System, Owning, "entry and owner in one box, 200/s", Direct);
  addedTime(System, Other, "entry and owner in two boxes, 200/s", Direct);
  boxLoad(System, Owning);
  return 0;
}
