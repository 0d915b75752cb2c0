/// \file
/// `havenstair load`: a load generator that sends requests to the callers'
/// address of boxes.
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

/// What the load generator sends, and the targets that it checks.
struct LoadOptions {
  /// Addresses of boxes that the requests are sent to, in turn.
  std::vector<Endpoint> m_CallerAddresses;
  std::vector<std::string> m_Keys;   ///< Bearer keys, used in turn.
  std::vector<std::string> m_Models; ///< Drawn at random.
  double m_Rate = 10;                ///< Requests per second outside bursts.
  /// Factor by which the rate is higher during bursts.
  double m_BurstFactor = 1;
  Duration m_BurstLength = 1s;
  /// Time from the start of a burst to the start of the next; 0: no bursts.
  Duration m_BurstPeriod = 10s;
  Duration m_SendDuration = 10s; ///< How long requests are sent.
  int m_MaxTokens = 16;          ///< Most tokens of an answer.
  bool m_Stream = true;          ///< Asks for streamed answers.
  std::uint64_t m_Seed = 1;
  Duration m_FirstTokenTarget = 680ms; ///< Longest time to the first token.
  /// Longest 95th percentile of the gaps between tokens.
  Duration m_BetweenTokensTarget = 77ms;
  /// Least fraction of the requests sent that must meet both targets.
  double m_MinAttainment = 0;
  bool m_Json = false;    ///< Prints the result as JSON.
  bool m_Progress = true; ///< Prints progress to standard error.
};

/// Sends requests as a Poisson process and measures each answer.
class LoadCommand {
public:
  explicit LoadCommand(LoadOptions Opts);
  ~LoadCommand();

  /// Sends for the duration in the options, waits for the last answers and
  /// prints the result.
  /// \throws CommandError when fewer than m_MinAttainment met their targets.
  void run();

private:
  struct InFlightRequest;

  void scheduleNext();
  void sendRequest();
  void onRequestEnd(const std::shared_ptr<InFlightRequest> &Request,
                    HttpEnd End);
  double currentRate() const;
  void showProgress() const;
  Json summary() const;

  LoadOptions m_Opts;
  EventLoop m_Loop;
  HttpClient m_Http;
  std::mt19937_64 m_Random;
  TimePoint m_StartTime;
  std::map<std::uint64_t, std::shared_ptr<InFlightRequest>> m_InFlight;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_TargetsMet = 0;
  std::map<std::string, std::uint64_t> m_Outcomes;
  std::vector<double> m_FirstTokenMs;
  std::vector<double> m_TokenGapsMs;
  std::vector<double> m_TotalMs;
  Timer m_NextSend;
};

/// Returns the percentile of \p Values at \p Fraction (0 to 1); 0 without
/// values.
double percentile(std::vector<double> Values, double Fraction);

} // namespace havenstair

#endif
