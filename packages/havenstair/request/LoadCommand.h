/// \file
/// `havenstair load`: a load generator towards the caller side.
#ifndef HAVENSTAIR_HAVENSTAIR_REQUEST_LOADCOMMAND_H
#define HAVENSTAIR_HAVENSTAIR_REQUEST_LOADCOMMAND_H

#include "decisions/common/Time.h"
#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace havenstair {

/// What to send.
struct LoadOptions {
  std::vector<Endpoint> m_Callers; ///< Boxes, taken in turn.
  std::vector<std::string> m_Keys; ///< One for each group, taken in turn.
  std::vector<std::string> m_Models;
  double m_Rate = 10; ///< Requests a second outside bursts.
  /// Factor of the rate within bursts, their length and their distance.
  double m_BurstFactor = 1;
  Duration m_BurstLength = 1s;
  Duration m_BurstEvery = 10s;
  Duration m_Time = 10s;
  int m_MaxTokens = 16;
  bool m_Stream = true;
  std::uint64_t m_Seed = 1;
  Duration m_FirstTokenTarget = 680ms;
  Duration m_BetweenTokensTarget = 77ms;
  double m_LeastAttainment = 0; ///< Part of all requests; 0 asks nothing.
  bool m_Json = false;
  bool m_Progress = true;
};

/// Sends at random moments (a Poisson process) and measures each answer.
class LoadCommand {
public:
  explicit LoadCommand(LoadOptions Opts);
  ~LoadCommand();

  /// \throws CommandError when fewer answers met their targets than asked.
  void run();

private:
  struct Running;

  void scheduleNext();
  void sendOne();
  void finished(const std::shared_ptr<Running> &Item, HttpEnd End);
  double rateNow() const;
  void showProgress() const;
  Json summary() const;

  LoadOptions m_Opts;
  EventLoop m_Loop;
  HttpClient m_Http;
  std::mt19937_64 m_Random;
  TimePoint m_Began;
  std::map<std::uint64_t, std::shared_ptr<Running>> m_Running;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Met = 0;
  std::map<std::string, std::uint64_t> m_Outcomes;
  std::vector<double> m_FirstMs;
  std::vector<double> m_GapMs;
  std::vector<double> m_WholeMs;
  Timer m_Next;
};

/// Value below which the part \p Part of \p Values lies; 0 without values.
double percentile(std::vector<double> Values, double Part);

} // namespace havenstair

#endif
