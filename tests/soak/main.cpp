/// \file
/// `havenstair-soak`: plays faults on real processes and tells the first
/// promise that they broke. Not installed.
#include "soak/SoakRun.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>
#include <map>
#include <optional>

namespace {

using namespace havenstair;

constexpr const char *Usage =
    R"(havenstair-soak: a randomized soak of the gateway.

Usage:
  havenstair-soak [options]

Options:
  --seed N          Draws the whole plan [default: 1].
  --seconds N       Length, from the callers' start [default: 20].
  --crashing N      Requests that end the engines that run them, from 0 to 6
                    [default: 0].
  --parts N         Parts of prompts that end the engines that run them, from 0
                    to 6 [default: 0].
  --boxes N         Boxes, from 1 to 100, in place of the seed's number.
  --engines N       Engines with models, from 0 to 200, the same.
  --models N        Models, from 1 to 400, the same.
  --data-centres N  Data centres, from 1 to 3, the same.
  --words           Servers besides that name limits, say that they leave or
                    name a time to retry after in their answers.
  --restores        Besides, the store is away for a moment and comes back from
                    a copy of itself, some seconds old.
  --endings         Besides, answers of servers end in many ways: without a
                    length or chunks, cut, by a reset, in silence.
  --partitions      Besides, boxes reach no server for seconds, and everybody
                    else.
  --brittle         Besides, servers of a service say that they bear few
                    refusals, and fall over more; others are silent for a
                    moment.
  --versions        Besides, servers have several software versions, and callers
                    take up streams that broke off. With --returns, releases
                    strike beside the losses of all boxes.
  --absent          With --versions and --returns: a smaller fleet, to which a
                    new version comes while all boxes are gone, mostly beside
                    the one before, in place of the other releases.
  --store-troubles  With --returns: the store is slow or away, or loses an
                    answer, when all boxes are lost, when they return, or both.
  --returns         A larger fleet, of which all boxes are lost at once and come
                    back, in place of the seed's usual plan; 40 s and more.
  --power           With --returns, of 60 s and more: the servers lose power with
                    the boxes, and mostly the store; engines come back empty.
  --taken-ports     With --returns: one box in four finds one of its ports taken
                    when it starts again, for up to six seconds.
  --renamed         With --returns: boxes come back under other names.
  --skew            Most new connections go to one box for 12 s, and on to
                    another once that one is out, in place of the seed's usual
                    plan; 26 s and more.
  --rate N          With --skew: requests in a second [default: 250].
  --skewed-rate N   The same while most connections go to one box
                    [default: 375].
  --weak-share N    With --skew or --returns: hundredths of a core that most
                    boxes have [default: 12].
  --held            Boxes are stopped and continued so that none gets more of a
                    core than its settings say.
  --config          Harm the ways on which boxes learn of configurations, in
                    place of the seed's usual plan.
  --again MS        With --config: each harm once more after MS [default: 0].
  --routes N        Routes that make configurations larger [default: 0].
  --programs DIR    Folder of the daemon [default: build/bin].
  --previous DIR    Folder of an earlier daemon, which the boxes run at first;
                    they are replaced one after the other, and back again.
  --logs DIR        Folder for logs; kept. A new one in /tmp without, which is
                    removed when no promise was broken.
  --plan            Show the plan and end.
  --mutate NAME     Harm the soak's own parts: double-unsafe, spoil-answer,
                    withhold-config, withhold-leaving, silence-words,
                    hide-era; claim-whole, with --endings; and
                    refuse-after-loss, with --returns.
  --untimed         Tell broken bounds in time, but end with 0 all the same.

Ends with 0 when all promises were kept, 1 when one was broken, 2 when the soak
could not be played, 3 when it was interrupted, 4 when nothing was served.
)";

constexpr int Kept = 0;
constexpr int Broken = 1;
constexpr int NotPlayed = 2;
constexpr int Interrupted = 3;
constexpr int NothingServed = 4;

SoakRun::Mutation mutation(const std::string &Name) {
  if (Name.empty())
    return SoakRun::Mutation::None;
  using Mutation = SoakRun::Mutation;
  const std::map<std::string, Mutation> Known{
      {"double-unsafe", Mutation::DoubleUnsafe},
      {"spoil-answer", Mutation::SpoilAnswer},
      {"withhold-config", Mutation::WithholdConfig},
      {"withhold-leaving", Mutation::WithholdLeaving},
      {"silence-words", Mutation::SilenceWords},
      {"hide-era", Mutation::HideEra},
      {"claim-whole", Mutation::ClaimWhole},
      {"refuse-after-loss", Mutation::RefuseAfterLoss}};
  if (const auto Found = Known.find(Name); Found != Known.end())
    return Found->second;
  throw std::runtime_error("no mutation is called " + Name);
}

struct Range {
  int m_Least = 0;
  int m_Most = 0;
};

/// The number that option \p Name gives; none without the option.
std::optional<int> number(std::map<std::string, docopt::value> &Flags,
                          const std::string &Name, const Range &Of) {
  const docopt::value &Given = Flags[Name];
  if (!Given.isString())
    return std::nullopt;
  const int Result = std::stoi(Given.asString());
  if (Result < Of.m_Least || Result > Of.m_Most)
    throw std::runtime_error(Name + " takes a number from " +
                             std::to_string(Of.m_Least) + " to " +
                             std::to_string(Of.m_Most));
  return Result;
}

void showPlan(std::uint64_t Seed, const SoakPlan &Plan) {
  std::cout << "seed " << Seed << ": " << Plan.m_Boxes << " boxes, "
            << Plan.m_Plain << " plain servers, " << Plan.m_Engines
            << " engines"
            << (Plan.m_FencingEnforced ? " that check fencing tokens" : "")
            << ", " << Plan.m_Callers << " callers\n";
  for (const ScheduledFault &Each : Plan.m_Faults)
    std::cout << "  " << Each.str() << "\n";
  std::cout << std::flush;
}

struct ReportOptions {
  std::string m_Folder;
  bool m_Untimed = false;
};

/// Milliseconds since 1970 at \p Then, as lines of logs tell them.
std::int64_t wallMillis(TimePoint Then) {
  return EventLoop::wallMillis() - (EventLoop::now() - Then) / 1ms;
}

/// What was served second by second after each loss of all boxes.
void showReturns(const SoakRun &Run) {
  for (const ReturnOracle::Report &Each : Run.oracle().returns().reports()) {
    std::cout << "all boxes back after "
              << (Each.m_BackAt - Run.started()) / 1ms << " ms; ";
    if (Each.m_FirstServed)
      std::cout << "first answer " << *Each.m_FirstServed / 1ms
                << " ms later; served in each second:";
    else
      std::cout << "nothing was served; sent in each second:";
    for (const auto &[Second, Count] : Each.m_BySecond)
      std::cout << " " << Count.first << "/" << Count.second;
    std::cout << "\n";
  }
}

/// What was served before and while most new connections went to one box.
void showSkew(const SoakRun &Run) {
  const SkewOracle &Skew = Run.oracle().skew();
  if (!Skew.played())
    return;
  std::cout << "served at the first try that was read: before "
            << Skew.before().str() << "; while most new connections went to "
            << Run.skewed().inTurn() << " boxes in turn " << Skew.during().str()
            << "\n";
}

/// How many streams went on after each loss of all boxes.
void showGoesOn(const SoakRun &Run) {
  for (const GoesOnOracle::Report &Each : Run.oracle().goesOn().reports())
    std::cout << "after " << (Each.m_BackAt - Run.started()) / 1ms << " ms "
              << Each.m_TakenUp.str() << " streams that were taken up went on, "
              << Each.m_FromPast.str() << " of before the loss; "
              << Each.m_New.str() << " new ones began\n";
}

int report(const SoakRun &Run, bool Played, const ReportOptions &Opts) {
  const SoakCallers::Counts &Counts = Run.counts();
  std::cout << "sent " << Counts.m_Sent << ", served " << Counts.m_Served
            << ", refused " << Counts.m_Refused << ", left " << Counts.m_Left
            << ", broken " << Counts.m_Broken << "; longest pause of the soak "
            << Run.longestPause() / 1ms << " ms; callers started at "
            << wallMillis(Run.started()) << "\n";
  if (const int Ended = Run.oracle().crashes().engines(); Ended > 0)
    std::cout << Ended << " engines ended under requests\n";
  showReturns(Run);
  showSkew(Run);
  const VersionOracle::Counts &Streams = Run.oracle().versions().counts();
  if (Streams.m_Asked > 0)
    std::cout << Streams.m_Asked << " streams asked for, " << Streams.m_Begun
              << " begun, " << Streams.m_Whole << " whole; "
              << Streams.m_TakenUp << " tries took one up, " << Streams.m_WentOn
              << " went on\n";
  if (Streams.m_Asked > 0)
    showGoesOn(Run);
  const auto &Verdicts = Run.oracle().verdicts();
  constexpr std::size_t MostShown = 20;
  for (std::size_t Index = 0; Index < std::min(Verdicts.size(), MostShown);
       ++Index) {
    const SoakVerdict &Each = Verdicts[Index];
    std::cout << "BROKEN " << toString(Each.m_Promise) << " after "
              << (Each.m_At - Run.started()) / 1ms << " ms: " << Each.m_Subject
              << " " << Each.m_Text << "\n";
  }
  if (!Verdicts.empty())
    std::cout << Verdicts.size() << " broken; logs in " << Opts.m_Folder
              << "\n";
  const bool Fails = std::any_of(
      Verdicts.begin(), Verdicts.end(), [&](const SoakVerdict &Each) {
        return !Opts.m_Untimed || !isTimed(Each.m_Promise);
      });
  if (Fails)
    return Broken;
  if (!Played)
    return Interrupted;
  if (Counts.m_Served == 0 && !Run.oracle().skew().played())
    return NothingServed;
  if (Verdicts.empty())
    std::cout << "all promises kept\n";
  return Kept;
}

std::string makeFolder(const docopt::value &Given) {
  if (Given.isString()) {
    std::filesystem::create_directories(Given.asString());
    return Given.asString();
  }
  std::string Name = "/tmp/havenstair-soak-XXXXXX";
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("no folder for logs could be made");
  return Name;
}

int soak(std::map<std::string, docopt::value> &Flags) {
  SoakRun::Options Opts;
  Opts.m_Seed = std::stoull(Flags["--seed"].asString());
  Opts.m_Length = std::chrono::seconds(Flags["--seconds"].asLong());
  Opts.m_Boxes = number(Flags, "--boxes", {.m_Least = 1, .m_Most = 100});
  Opts.m_Engines = number(Flags, "--engines", {.m_Least = 0, .m_Most = 200});
  Opts.m_Models = number(Flags, "--models", {.m_Least = 1, .m_Most = 400});
  Opts.m_DataCentres =
      number(Flags, "--data-centres", {.m_Least = 1, .m_Most = 3});
  Opts.m_Power = Flags["--power"].asBool();
  Opts.m_TakenPorts = Flags["--taken-ports"].asBool();
  Opts.m_Renamed = Flags["--renamed"].asBool();
  Opts.m_Held = Flags["--held"].asBool();
  Opts.m_Skew = Flags["--skew"].asBool();
  Opts.m_PerSecond = static_cast<int>(Flags["--rate"].asLong());
  Opts.m_PerSecondSkewed = static_cast<int>(Flags["--skewed-rate"].asLong());
  Opts.m_WeakShare = static_cast<double>(Flags["--weak-share"].asLong()) / 100;
  Opts.m_Crashing = static_cast<int>(Flags["--crashing"].asLong());
  Opts.m_Parts = static_cast<int>(Flags["--parts"].asLong());
  const docopt::value &Mutate = Flags["--mutate"];
  Opts.m_Mutation = mutation(Mutate.isString() ? Mutate.asString() : "");
  Opts.m_Words = Flags["--words"].asBool();
  Opts.m_Restores = Flags["--restores"].asBool();
  Opts.m_Endings = Flags["--endings"].asBool();
  Opts.m_Partitions = Flags["--partitions"].asBool();
  Opts.m_Brittle = Flags["--brittle"].asBool();
  Opts.m_Versions = Flags["--versions"].asBool();
  Opts.m_Returns = Flags["--returns"].asBool();
  Opts.m_Absent = Flags["--absent"].asBool();
  Opts.m_StoreTroubles = Flags["--store-troubles"].asBool();
  if (Opts.m_Absent && !(Opts.m_Versions && Opts.m_Returns))
    throw std::runtime_error("--absent takes --versions and --returns");
  if (Opts.m_StoreTroubles && !Opts.m_Returns)
    throw std::runtime_error("--store-troubles takes --returns");
  if (Opts.m_Power && !Opts.m_Returns)
    throw std::runtime_error("--power takes --returns");
  if ((Opts.m_TakenPorts || Opts.m_Renamed) && !Opts.m_Returns)
    throw std::runtime_error("--taken-ports and --renamed take --returns");
  Opts.m_ConfigPlan = Flags["--config"].asBool();
  Opts.m_Again = std::chrono::milliseconds(Flags["--again"].asLong());
  Opts.m_MoreRoutes = static_cast<int>(Flags["--routes"].asLong());
  showPlan(Opts.m_Seed, SoakRun::planOf(Opts));
  if (Flags["--plan"].asBool())
    return Kept;
  Opts.m_Program = Flags["--programs"].asString() + "/havenstaird";
  if (Flags["--previous"].isString())
    Opts.m_Previous = Flags["--previous"].asString() + "/havenstaird";
  Opts.m_Folder = makeFolder(Flags["--logs"]);
  const ReportOptions Reporting{.m_Folder = Opts.m_Folder,
                                .m_Untimed = Flags["--untimed"].asBool()};
  int Result = NotPlayed;
  {
    SoakRun Run(std::move(Opts));
    const bool Played = Run.play();
    Result = report(Run, Played, Reporting);
  }
  if (Result == Kept && !Flags["--logs"].isString())
    std::filesystem::remove_all(Reporting.m_Folder);
  return Result;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  auto Flags = docopt::docopt(Usage, {Values + 1, Values + Count}, true);
  try {
    return soak(Flags);
  } catch (const std::exception &Error) {
    std::cerr << "havenstair-soak: " << Error.what() << "\n";
    return NotPlayed;
  }
}
