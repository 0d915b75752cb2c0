/// \file
/// The attempts of one request: which answers belong to it, and whether it
/// may be tried again. See docs/design/unsafe-requests.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REQUESTATTEMPTS_H
#define HAVENSTAIR_DECISIONS_REQUEST_REQUESTATTEMPTS_H

#include "decisions/common/Id.h"
#include "decisions/request/ErrorKind.h"
#include <cstdint>
#include <set>
#include <variant>

namespace havenstair {

/// Number of an attempt within the process; never reused.
using AttemptId = std::uint64_t;

/// Try once more, at an upstream that was not tried yet.
struct TryElsewhere {};
/// Answer the caller with the failure, at once.
struct GiveUp {
  Failure m_Failure;
};
/// The event belongs to an attempt that was given up; drop it.
struct Ignore {};
using AttemptDecision = std::variant<TryElsewhere, GiveUp, Ignore>;

/// Decides after each event of an attempt. At most one attempt is current.
class RequestAttempts {
public:
  struct Options {
    bool m_Unsafe = false; ///< Must not run twice.
    int m_MaxAttempts = 3;
    /// Hook for tests that let late answers through; true in the product.
    bool m_MatchAttempts = true;
  };

  explicit RequestAttempts(Options Opts) : m_Opts(Opts) {}

  /// Makes \p Id the current attempt, at \p Upstream.
  void begin(AttemptId Id, const UpstreamName &Upstream);
  /// Whether bytes of attempt \p Id go to the caller.
  bool accepts(AttemptId Id) const;
  /// Bytes of the answer went to the caller.
  void delivered(AttemptId Id);
  /// The whole answer went to the caller. \returns false for a late one.
  bool completed(AttemptId Id);
  /// The attempt failed with \p Reason, whose kind says whether it ran.
  AttemptDecision failed(AttemptId Id, const Failure &Reason);
  /// No upstream was left to try.
  Failure exhausted(const Failure &WhenNone) const;

  /// Upstreams that could not serve, and the current one.
  const std::set<UpstreamName> &tried() const { return m_Tried; }
  int count() const { return m_Count; }
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

/// Whether another upstream might do better after this kind.
bool isRetryableElsewhere(ErrorKind Kind);

} // namespace havenstair

#endif
