#include "havenstair/request/LossesCommand.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>

namespace havenstair {

namespace {

/// An estimate counts as accurate within this factor, up or down.
constexpr double EstimateToleranceFactor = 1.5;

/// Whether the outcome is a refusal, that is, the request has not run.
bool isRefusal(const std::string &Outcome) {
  return Outcome == "overloaded" || Outcome == "no_resident_copy" ||
         Outcome == "no_upstream" || Outcome == "no_allowed_region" ||
         Outcome == "no_allowed_upstream" || Outcome == "stopping" ||
         Outcome == "no_configuration" || Outcome == "deadline_passed";
}

/// Returns why a try was not answered in time.
std::string causeOf(const TryResult &Try) {
  if (!Try.served())
    return Try.m_RefusalReason.empty() || !isRefusal(Try.m_Outcome)
               ? Try.m_Outcome
               : Try.m_Outcome + "/" + Try.m_RefusalReason;
  if (Try.m_EarlierTriesMs + Try.m_FirstTokenMs <= Try.m_FirstTokenTargetMs)
    return "pause";
  if (Try.m_EarlierTriesMs > 0)
    return "late second try";
  return Try.m_ExpectedMs > Try.m_FirstTokenTargetMs
             ? "late as expected"
             : "late against expectation";
}

std::string groupOf(const TryResult &Try, LossGrouping Grouping) {
  switch (Grouping) {
  case LossGrouping::Route:
    return Try.m_Route;
  case LossGrouping::Model:
    return Try.m_Model.empty() ? "(none)" : Try.m_Model;
  case LossGrouping::Organisation:
    return Try.m_Organisation.empty() ? "(none)" : Try.m_Organisation;
  case LossGrouping::Second:
    return std::to_string(Try.m_Time / 1000);
  }
  return {};
}

std::string formatRounded(double Value, int Digits) {
  const double Scale = std::pow(10, Digits);
  return formatCell(Json(std::round(Value * Scale) / Scale));
}

std::string topCauses(const LossTotals &Totals) {
  constexpr std::size_t MaxCauses = 3;
  std::vector<std::pair<std::size_t, std::string>> Ranked;
  for (const auto &[Cause, Count] : Totals.m_Causes)
    Ranked.emplace_back(Count, Cause);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::string Text;
  for (std::size_t Rank = 0; Rank < std::min(MaxCauses, Ranked.size()); ++Rank)
    Text += (Rank == 0 ? "" : ", ") + Ranked[Rank].second + " " +
            std::to_string(Ranked[Rank].first);
  return Text;
}

} // namespace

bool TryResult::inTime() const {
  return served() &&
         m_EarlierTriesMs + m_FirstTokenMs <= m_FirstTokenTargetMs &&
         (m_TokenGapTargetMs <= 0 || m_TokenGapMs <= m_TokenGapTargetMs);
}

std::optional<TryResult> parseTryResult(const std::string &Line) {
  const std::size_t Start = Line.find('{');
  if (Start == std::string::npos ||
      Line.find("answered\"") == std::string::npos)
    return std::nullopt;
  try {
    const Json Fields = parseJson(Line.substr(Start));
    const auto Event = fieldOr<std::string>(Fields, "event", "");
    if (Event != "answered" && Event != "not_answered")
      return std::nullopt;
    return TryResult{
        .m_Time = fieldOr<long long>(Fields, "time", 0),
        .m_Route = fieldOr<std::string>(Fields, "route", ""),
        .m_Model = fieldOr<std::string>(Fields, "model", ""),
        .m_Organisation = fieldOr<std::string>(Fields, "organisation", ""),
        .m_Outcome = field<std::string>(Fields, "outcome"),
        .m_RefusalReason = fieldOr<std::string>(Fields, "judged", ""),
        .m_EarlierTriesMs = fieldOr<double>(Fields, "tried_before_ms", 0),
        .m_ExpectedMs = fieldOr<double>(Fields, "expected_ms", 0),
        .m_FirstTokenMs = fieldOr<double>(Fields, "first_ms", 0),
        .m_TokenGapMs = fieldOr<double>(Fields, "gap_ms", 0),
        .m_TotalMs = fieldOr<double>(Fields, "whole_ms", 0),
        .m_FirstTokenTargetMs = field<double>(Fields, "target_ms"),
        .m_TokenGapTargetMs = fieldOr<double>(Fields, "gap_target_ms", 0),
        .m_UpstreamAttempts = fieldOr<int>(Fields, "sends", 0)};
  } catch (const DecodeError &) {
    // Written by another program or by another version of the box.
    return std::nullopt;
  }
}

double creditOf(const TryResult &Try, const CreditWeights &Weights) {
  if (Try.inTime())
    return 1;
  if (Try.served())
    return Weights.m_LateCredit;
  const double WaitFraction =
      Try.m_FirstTokenTargetMs > 0
          ? std::min(1.0, Try.m_TotalMs / Try.m_FirstTokenTargetMs)
          : 1;
  // Time spent at an upstream that failed does not count as waiting.
  const double WaitPenalty = Try.m_UpstreamAttempts == 0
                                 ? Weights.m_UnservedWaitPenalty * WaitFraction
                                 : 0;
  return -WaitPenalty -
         (Try.m_EarlierTriesMs > 0 ? Weights.m_RetryFailurePenalty : 0);
}

void LossTotals::add(const TryResult &Try, const CreditWeights &Weights) {
  const bool Second = Try.m_EarlierTriesMs > 0;
  ++(Second ? m_SecondTries : m_FirstTries);
  m_Credit += creditOf(Try, Weights);
  if (Try.served() && Try.m_ExpectedMs > 0 && Try.m_FirstTokenMs > 0) {
    ++m_Estimates;
    const double Ratio = Try.m_FirstTokenMs / Try.m_ExpectedMs;
    if (Ratio <= EstimateToleranceFactor &&
        Ratio >= 1 / EstimateToleranceFactor)
      ++m_AccurateEstimates;
  }
  if (Try.inTime()) {
    ++m_InTime;
    return;
  }
  ++m_Causes[causeOf(Try)];
  if (Try.served()) {
    ++m_Late;
    return;
  }
  m_UnservedWaitMs += Try.m_TotalMs;
  if (isRefusal(Try.m_Outcome))
    ++(Second ? m_RefusedSecond : m_RefusedFirst);
  else
    ++m_Failed;
}

std::size_t LossTotals::callers() const {
  // Each second try should follow an unserved try. A surplus comes from
  // callers whose first try is not in these logs or was misclassified.
  // Each of them counts as one more caller.
  const std::size_t Unserved = m_FirstTries + m_SecondTries - m_InTime - m_Late;
  return m_FirstTries +
         (m_SecondTries > Unserved ? m_SecondTries - Unserved : 0);
}

double LossTotals::lost() const {
  return static_cast<double>(callers()) - m_Credit;
}

double LossTotals::creditPerCaller() const {
  return callers() == 0 ? 0 : m_Credit / static_cast<double>(callers());
}

LossGrouping parseLossGrouping(std::string_view Text) {
  if (Text == "route")
    return LossGrouping::Route;
  if (Text == "model")
    return LossGrouping::Model;
  if (Text == "organisation")
    return LossGrouping::Organisation;
  if (Text == "second")
    return LossGrouping::Second;
  throw CommandError(ExitCode::BadUsage,
                     "--by: '" + std::string(Text) +
                         "' is not route, model, organisation or "
                         "second");
}

LossFormat parseLossFormat(std::string_view Text) {
  if (Text == "table")
    return LossFormat::Table;
  if (Text == "json")
    return LossFormat::Json;
  throw CommandError(ExitCode::BadUsage, "--format: '" + std::string(Text) +
                                             "' is not table or json");
}

void addLosses(std::istream &Log, LossGrouping Grouping,
               const CreditWeights &Weights, LossTable &Losses) {
  std::string Line;
  while (std::getline(Log, Line))
    if (const auto Try = parseTryResult(Line))
      Losses[groupOf(*Try, Grouping)].add(*Try, Weights);
}

namespace {

/// Orders the groups by their loss, largest first.
std::vector<const LossTable::value_type *>
sortedByLoss(const LossTable &Losses) {
  std::vector<const LossTable::value_type *> Result;
  for (const auto &Entry : Losses)
    Result.push_back(&Entry);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const auto *A, const auto *B) {
                     return A->second.lost() > B->second.lost();
                   });
  return Result;
}

} // namespace

Json toJson(const LossTable &Losses) {
  Json Result = Json::array();
  for (const auto *Entry : sortedByLoss(Losses)) {
    const auto &[Group, Totals] = *Entry;
    Result.push_back({{"group", Group},
                      {"callers", Totals.callers()},
                      {"lost", Totals.lost()},
                      {"first_tries", Totals.m_FirstTries},
                      {"second_tries", Totals.m_SecondTries},
                      {"in_time", Totals.m_InTime},
                      {"late", Totals.m_Late},
                      {"refused_first", Totals.m_RefusedFirst},
                      {"refused_second", Totals.m_RefusedSecond},
                      {"failed", Totals.m_Failed},
                      {"held_unserved_ms", Totals.m_UnservedWaitMs},
                      {"estimated", Totals.m_Estimates},
                      {"estimates_close", Totals.m_AccurateEstimates},
                      {"credit_per_caller", Totals.creditPerCaller()},
                      {"causes", Totals.m_Causes}});
  }
  return Result;
}

std::string toText(const LossTable &Losses) {
  TextTable Table({"group", "callers", "lost", "in time", "late", "refused",
                   "refused again", "failed", "held s", "estimates close",
                   "credit", "causes"});
  for (const auto *Entry : sortedByLoss(Losses)) {
    const LossTotals &Totals = Entry->second;
    const double Close = Totals.m_Estimates == 0
                             ? 0
                             : static_cast<double>(Totals.m_AccurateEstimates) /
                                   static_cast<double>(Totals.m_Estimates);
    Table.add({Entry->first, std::to_string(Totals.callers()),
               formatRounded(Totals.lost(), 1), std::to_string(Totals.m_InTime),
               std::to_string(Totals.m_Late),
               std::to_string(Totals.m_RefusedFirst),
               std::to_string(Totals.m_RefusedSecond),
               std::to_string(Totals.m_Failed),
               formatRounded(Totals.m_UnservedWaitMs / 1000, 1),
               formatRounded(Close, 2),
               formatRounded(Totals.creditPerCaller(), 3), topCauses(Totals)});
  }
  return Table.str();
}

void printLosses(const std::vector<std::string> &Files, LossGrouping Grouping,
                 const CreditWeights &Weights, LossFormat Format) {
  LossTable Losses;
  for (const std::string &Name : Files) {
    std::ifstream File(Name);
    if (!File)
      throw CommandError(ExitCode::BadUsage, "cannot read " + Name);
    addLosses(File, Grouping, Weights, Losses);
  }
  if (Losses.empty())
    throw CommandError(ExitCode::Failed,
                       "no line reports the end of a request");
  if (Format == LossFormat::Json)
    std::cout << dumpJson(toJson(Losses)) << "\n";
  else
    std::cout << toText(Losses);
}

} // namespace havenstair
