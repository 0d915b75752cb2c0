/// \file
/// Takes in what servers say of themselves in their answers.
/// See docs/design/server-words.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SERVERWORDEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_SERVERWORDEXCHANGE_H

#include "decisions/process/ServerWords.h"
#include "gateway/request/ServerWordDesk.h"

namespace havenstair {

class DecisionLog;
class Fleet;

/// Hears the words of servers for this box.
class ServerWordExchange : public ServerWordDesk {
public:
  ServerWordExchange(Fleet &Boxes, ServerWords &Words, DecisionLog &Log);

  void heard(const UpstreamLife &Server, const AnswerFacts &Words,
             TimePoint SentAt) override;

private:
  void heardLimit(const UpstreamLife &Server, const AnswerFacts &Words,
                  TimePoint SentAt);
  void logLimit(const UpstreamLife &Server, LimitChange Change,
                std::optional<NamedLimit> Before, const BoxName &By);

  Fleet &m_Fleet;
  ServerWords &m_Words;
  DecisionLog &m_Log;
};

} // namespace havenstair

#endif
