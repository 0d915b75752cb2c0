/// \file
/// Interface through which requests hand over what upstreams report about
/// themselves in the headers of their answers.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_UPSTREAMSIGNALSERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_UPSTREAMSIGNALSERVICE_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include "gateway/request/RequestDialect.h"

namespace havenstair {

/// Collects the signals of upstreams: rate limits, times to retry after, and
/// that an upstream leaves.
class UpstreamSignalService {
public:
  UpstreamSignalService() = default;
  UpstreamSignalService(const UpstreamSignalService &) = delete;
  UpstreamSignalService &operator=(const UpstreamSignalService &) = delete;
  virtual ~UpstreamSignalService() = default;

  /// Records the signals in \p Answer, which \p Upstream gave to what was sent
  /// to it at \p SentAt.
  virtual void recordSignals(const UpstreamIncarnation &Upstream,
                             const AnswerFacts &Answer, TimePoint SentAt) = 0;
};

} // namespace havenstair

#endif
