/// \file
/// All kinds of errors, and the table of the answer that each one gets.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_ERRORKIND_H
#define HAVENSTAIR_DECISIONS_REQUEST_ERRORKIND_H

#include "decisions/common/Time.h"
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace havenstair {

/// Every way in which a request, or an edit of the table, can fail.
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
  Internal,
  StreamUnknown,
  NoUpstreamOfVersion,
  RequestSuspected
};

/// Number of error kinds; the table has one row for each.
constexpr int ErrorKindCount =
    static_cast<int>(ErrorKind::RequestSuspected) + 1;

/// Whether a request that failed may have been run.
enum class RunState {
  NotRun, ///< Certainly not run; even an unsafe request may be repeated.
  Unknown ///< May have run, wholly or partly.
};

/// The answer to an error kind: one row of the table.
struct ErrorAnswer {
  int m_HttpStatus;
  std::string_view m_Code; ///< Stable code for clients and metric labels.
  RunState m_RunState;
  bool m_HasRetryAfter;       ///< Whether the answer has a `Retry-After`.
  std::string_view m_Message; ///< Sentence for the caller.
};

/// The row of the table for \p Kind.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// The kind whose stable code is \p Code; empty for an unknown code.
std::optional<ErrorKind> errorKindFromCode(std::string_view Code);

/// An error with what its answer needs besides the kind.
struct Failure {
  ErrorKind m_Kind = ErrorKind::Internal;
  Duration m_RetryAfter = 0us; ///< Zero where a retry makes no sense.
  std::string m_Detail;        ///< Short text for people; may be empty.

  bool operator==(const Failure &) const = default;
};

/// The exception for errors within one box; carries the failure.
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
