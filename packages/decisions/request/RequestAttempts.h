/// \file
/// The attempts of one request: which answers belong to it, and whether it
/// may be repeated. See docs/design/unsafe-requests.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REQUESTATTEMPTS_H
#define HAVENSTAIR_DECISIONS_REQUEST_REQUESTATTEMPTS_H

#include "decisions/common/Id.h"
#include "decisions/request/ErrorKind.h"
#include <cstdint>
#include <set>
#include <variant>

namespace havenstair {

/// Number of an attempt, unique within the process.
using AttemptId = std::uint64_t;

/// Send the request to an upstream that has not been tried yet.
struct TryElsewhere {};
/// Answer the caller with the failure at once.
struct GiveUp {
  Failure m_Failure;
};
/// Drop the event: it belongs to an attempt that is no longer current.
struct Ignore {};
/// What to do when an attempt has failed.
using AttemptDecision = std::variant<TryElsewhere, GiveUp, Ignore>;

/// Tracks the attempts of one request and decides what follows a failure. At
/// most one attempt is current; events of earlier ones are ignored.
class RequestAttempts {
public:
  struct Options {
    bool m_Unsafe = false; ///< The request must not run twice.
    int m_MaxAttempts = 3;
    /// Ignores events of attempts that are not current. Only tests of the test
    /// oracle turn it off.
    bool m_MatchAttempts = true;
  };

  explicit RequestAttempts(Options Opts) : m_Opts(Opts) {}

  /// Makes \p Id the current attempt, at \p Upstream.
  void begin(AttemptId Id, const UpstreamName &Upstream);
  /// Whether bytes of attempt \p Id are passed to the caller.
  bool accepts(AttemptId Id) const;
  /// Bytes of the answer were passed to the caller.
  void delivered(AttemptId Id);
  /// The complete answer was passed to the caller. \returns whether \p Id is
  /// the current attempt.
  bool completed(AttemptId Id);
  /// The attempt failed with \p Reason, whose kind tells whether it may have
  /// run.
  AttemptDecision failed(AttemptId Id, const Failure &Reason);
  /// The failure to answer with when no upstream is left to try: that of the
  /// last attempt, or \p WhenNone before any failed.
  Failure exhausted(const Failure &WhenNone) const;

  /// Upstreams of failed attempts, and that of the current one. An upstream is
  /// taken out when only the box that owns it failed.
  const std::set<UpstreamName> &tried() const { return m_Tried; }
  /// Number of attempts so far.
  int count() const { return m_Count; }
  /// Whether the request has its answer.
  bool done() const { return m_Done; }

private:
  Options m_Opts;
  std::set<UpstreamName> m_Tried;
  AttemptId m_Current = 0;
  UpstreamName m_CurrentUpstream;
  int m_Count = 0;
  bool m_Delivered = false;
  bool m_Done = false;
  Failure m_LastFailure;
  bool m_HasLastFailure = false;
};

/// Whether another upstream may succeed after a failure of \p Kind.
bool isRetryableElsewhere(ErrorKind Kind);

} // namespace havenstair

#endif
