/// \file
/// Messages between the boxes of a gateway fleet about the use of quotas.
/// See docs/design/quotas.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_QUOTAFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_QUOTAFRAMES_H

#include "decisions/process/QuotaLedger.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <string>

namespace havenstair {

/// A leaf asks a relay for units of an organisation's quota, or reports units
/// that it has used already.
struct QuotaAskFrame {
  std::uint64_t m_Id = 0; ///< Repeated in the answer.
  std::string m_Organisation;
  QuotaRequest m_Request;
  /// The units are used already; a negative number is returned to the quota.
  bool m_Used = false;

  bool operator==(const QuotaAskFrame &) const = default;
};

/// Answers a QuotaAskFrame.
struct QuotaAnswerFrame {
  std::uint64_t m_Id = 0; ///< That of the question.
  QuotaVerdict m_Verdict;

  bool operator==(const QuotaAnswerFrame &) const = default;
};

/// What a relay reports to the other relays.
struct QuotaUseFrame {
  /// Number of boxes that it reports for, itself included.
  std::uint32_t m_Boxes = 0;
  /// Its levels no longer are those with which it started.
  bool m_Settled = false;
  QuotaReports m_Reports; ///< Of the organisations whose use has changed.

  bool operator==(const QuotaUseFrame &) const = default;
};

Json toJson(const QuotaAskFrame &Frame);
Json toJson(const QuotaAnswerFrame &Frame);
Json toJson(const QuotaUseFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, QuotaAskFrame &Frame);
void fromJson(const Json &From, QuotaAnswerFrame &Frame);
void fromJson(const Json &From, QuotaUseFrame &Frame);

} // namespace havenstair

#endif
