/// \file
/// The limits in time of one request.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTTIMES_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTTIMES_H

#include "decisions/common/Time.h"
#include "decisions/version/ServingConfig.h"
#include <optional>

namespace havenstair {

/// Knows when a request arrived and when it is given up, and derives from the
/// targets of its route how long each of its steps may take.
class RequestTimes {
public:
  /// \p MatchedRoute must outlive this object. \p CallerDeadline is the time
  /// that the caller gives the request; empty if it sets none.
  RequestTimes(const Route &MatchedRoute,
               std::optional<Duration> CallerDeadline, TimePoint Arrived);

  TimePoint arrived() const { return m_Arrived; }
  /// \returns when the caller or the route gives the request up.
  TimePoint deadline() const { return m_Deadline; }
  Duration waited(TimePoint Now) const { return Now - m_Arrived; }
  /// \returns the time until the deadline; negative after it.
  Duration left(TimePoint Now) const { return m_Deadline - Now; }
  /// \returns how long the request can wait for quota units or permits: as
  /// long as an answer that begins \p ExpectedMs after the send still meets its
  /// target, and if that is missed already, as long as a message from the other
  /// boxes takes.
  Duration toSpare(double ExpectedMs, TimePoint Now) const;
  /// \returns how long the caller may take its stream up: callers keep to the
  /// deadline of their first try.
  Duration toResume(TimePoint Now) const;

  /// \returns the idle timeout of an answer that is no stream.
  Duration answerTimeout() const;
  /// \returns the idle timeout until a stream begins that is expected to begin
  /// after \p ExpectedMs.
  Duration firstEventTimeout(double ExpectedMs) const;
  /// \returns the idle timeout between two events of a stream.
  Duration nextEventTimeout() const;

private:
  const Route &m_Route;
  std::optional<Duration> m_CallerDeadline;
  TimePoint m_Arrived;
  TimePoint m_Deadline;
};

} // namespace havenstair

#endif
