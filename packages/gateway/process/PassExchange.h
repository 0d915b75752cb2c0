/// \file
/// Passes requests on to other boxes, and takes theirs. See
/// docs/design/partition.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_PASSEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_PASSEXCHANGE_H

#include "decisions/request/BoxChoice.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/ServingState.h"
#include "gateway/request/PassService.h"
#include "wire/common/HttpServer.h"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace havenstair {

class DecisionLog;

/// Listens for requests of other boxes, whose number is bounded so that this
/// box serves its own callers first, and knows which boxes to ask.
class PassExchange : public PassService {
public:
  struct Options {
    HttpServer::Options m_Server;
    DataCentreName m_DataCentre;
    std::string m_Secret; ///< Shared by all boxes.
    /// Open requests that are taken from one box, and from all together.
    std::size_t m_MaxOfOne = 256;
    std::size_t m_MaxOpen = 512;
  };
  struct Hooks {
    /// Handles a request that another box passed on; it counts as open until
    /// the token is destroyed.
    std::function<void(const HttpExchangePtr &, std::shared_ptr<void> Token)>
        m_Handle;
    /// \returns the id of a request; empty when it has none.
    std::function<std::string(const HttpExchange &)> m_ReadId;
    /// A request that was passed on has ended, or one of another box was
    /// declined; for metrics.
    std::function<void(std::string_view Way, std::string_view Outcome)> m_Ended;
    std::function<double()> m_Random; ///< Random numbers from 0 to 1.
  };

  /// \throws std::runtime_error when the address can never be bound.
  PassExchange(EventLoop &Loop, Fleet &Others, const ServingState &State,
               DecisionLog &Log, Options Opts, Hooks Callbacks);

  std::optional<Target> choose(const Requirements &Needed) override;
  HttpHeaders fields(const std::string &Id) const override;
  std::shared_ptr<void> open(const Target &To) override;
  void onOutcome(const Target &To, std::string_view Outcome,
                 bool Declined) override;

  /// Puts the limits of callers into force for requests that other boxes pass
  /// on, whose heads are longer.
  void setLimits(InboundConnection::Limits Limits);
  Endpoint endpoint() const { return m_Server.endpoint(); }
  /// As `HttpServer::unsentAnswers`, of answers to other boxes.
  std::size_t unsentAnswers(Duration MaxSilence) const {
    return m_Server.unsentAnswers(MaxSilence);
  }

private:
  /// Open requests that were taken, by asking box.
  using Taken = std::map<BoxName, std::size_t>;

  void onRequest(const HttpExchangePtr &Exchange);
  void decline(const HttpExchangePtr &Exchange, std::string_view Reason);
  std::string_view reasonToDecline(const std::optional<PassedFrom> &From) const;
  std::shared_ptr<void> take(const BoxName &From);

  Fleet &m_Fleet;
  const ServingState &m_State;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  std::shared_ptr<BoxChoice> m_Choice;
  std::shared_ptr<Taken> m_Taken = std::make_shared<Taken>();
  HttpServer m_Server;
};

} // namespace havenstair

#endif
