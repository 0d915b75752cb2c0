/// \file
/// Messages between the boxes of a gateway fleet about use of quotas.
/// See docs/design/quotas.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_QUOTAFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_QUOTAFRAMES_H

#include "decisions/process/QuotaLedger.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <string>

namespace havenstair {

/// A leaf asks a relay for units of an organisation's quota.
struct QuotaAskFrame {
  std::uint64_t m_Id = 0; ///< Named in the answer.
  std::string m_Organisation;
  QuotaRequest m_Request;
  bool m_Used = false; ///< They are used already; negative: given back.

  bool operator==(const QuotaAskFrame &) const = default;
};

struct QuotaAnswerFrame {
  std::uint64_t m_Id = 0;
  QuotaVerdict m_Verdict;

  bool operator==(const QuotaAnswerFrame &) const = default;
};

/// What a relay tells the other relays.
struct QuotaUseFrame {
  std::uint32_t m_Boxes = 0; ///< It counts for so many, itself among them.
  bool m_Settled = false;    ///< Its levels are not those it started with.
  QuotaReports m_Reports;    ///< Of organisations with news.

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
