/// \file
/// The one closed list of error kinds, and the table from kind to answer.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_ERRORKIND_H
#define HAVENSTAIR_DECISIONS_REQUEST_ERRORKIND_H

#include "decisions/common/Time.h"
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace havenstair {

/// Every way in which a request or an edit can fail.
enum class ErrorKind {
  MissingKey,
  UnknownKey,
  BadJson,
  BadRequest,
  BodyTooLarge,
  WrongMethod,
  NotFound,
  ModelNotAvailable,
  RateLimited,
  ConcurrencyLimited,
  Overloaded,
  DeadlinePassed,
  NoResidentCopy,
  NoUpstream,
  NoAllowedRegion,
  NoAllowedUpstream,
  OwnerUnavailable,
  OwnerLost,
  KeyOwnerUnavailable,
  KeyReused,
  KeyRunning,
  OutcomeUnknown,
  UpstreamFailed,
  StreamCut,
  CallerLeft,
  PlatformUnavailable,
  EditConflict,
  BadCell,
  OperatorTokenNeeded,
  NoConfiguration,
  RouteTimeout,
  Stopping,
  RequestQuarantined,
  UpstreamsCrashed,
  Internal
};

/// Number of kinds; the table has one row for each.
constexpr int ErrorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// What a caller may conclude about its request.
enum class RunState {
  NotRun, ///< Certainly not run; may be sent again, even when unsafe.
  Unknown ///< May have run, in whole or in part.
};

/// One row of the table from kind to answer.
struct ErrorAnswer {
  int m_HttpStatus;
  std::string_view m_Code; ///< Stable code, also the metric label.
  RunState m_RunState;
  bool m_HasRetryAfter; ///< Whether a `Retry-After` makes sense.
  std::string_view m_Message;
};

/// Row of the table for \p Kind.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// Kind whose stable code is \p Code; empty for a code nobody knows.
std::optional<ErrorKind> errorKindFromCode(std::string_view Code);

/// A failure on its way to an answer.
struct Failure {
  ErrorKind m_Kind = ErrorKind::Internal;
  Duration m_RetryAfter = 0us; ///< Zero where coming back makes no sense.
  std::string m_Detail;        ///< Short text for a person; may be empty.

  bool operator==(const Failure &) const = default;
};

/// The exception for errors inside one box; carries the failure to answer.
class RequestError : public std::runtime_error {
public:
  explicit RequestError(Failure Reason);
  explicit RequestError(ErrorKind Kind, std::string Detail = {});

  const Failure &failure() const { return m_Failure; }

private:
  Failure m_Failure;
};

} // namespace havenstair

#endif
