/// \file
/// Where requests bring what servers say of themselves in their answers.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_SERVERWORDDESK_H
#define HAVENSTAIR_GATEWAY_REQUEST_SERVERWORDDESK_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include "gateway/request/RequestDialect.h"

namespace havenstair {

class ServerWordDesk {
public:
  ServerWordDesk() = default;
  ServerWordDesk(const ServerWordDesk &) = delete;
  ServerWordDesk &operator=(const ServerWordDesk &) = delete;
  virtual ~ServerWordDesk() = default;

  /// \p Server said \p Words in answer to what was sent to it at \p SentAt.
  virtual void heard(const UpstreamIncarnation &Server,
                     const AnswerFacts &Words, TimePoint SentAt) = 0;
};

} // namespace havenstair

#endif
