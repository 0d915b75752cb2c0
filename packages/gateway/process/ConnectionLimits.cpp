#include "gateway/process/ConnectionLimits.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Added to the idle timeout of callers, so that they close idle connections
/// first.
constexpr Duration IdleMargin = 10s;

/// Added to the time for a head, which callers measure on their side.
constexpr Duration HeaderMargin = 500ms;

/// Room for the request line, which is no header field (RFC 9112, section 3).
constexpr std::size_t RequestLineBytes = 8 << 10;

/// Heads are not charged to the memory budget.
constexpr std::size_t MaxHeaderBytes = 1 << 20;

constexpr Duration LongestTimeout = 86400s;

template <class T> T orDefault(T Value, T Default) {
  return Value > T{} ? Value : Default;
}

Duration timeout(Duration Value, Duration Default, Duration Margin) {
  return std::min(orDefault(Value, Default), LongestTimeout) + Margin;
}

} // namespace

InboundConnection::Limits connectionLimits(const CallerLimits &Limits) {
  const CallerLimits Default;
  const std::size_t Header =
      orDefault(Limits.m_HeaderBytes, Default.m_HeaderBytes);
  return {
      .m_MaxHeaders = std::min(Header, MaxHeaderBytes) + RequestLineBytes,
      .m_MaxBody = Limits.m_BodyBytes,
      .m_Timeouts = {.m_Header = timeout(Limits.m_HeaderTimeout,
                                         Default.m_HeaderTimeout, HeaderMargin),
                     .m_Idle = timeout(Limits.m_IdleTimeout,
                                       Default.m_IdleTimeout, IdleMargin)}};
}

} // namespace havenstair
