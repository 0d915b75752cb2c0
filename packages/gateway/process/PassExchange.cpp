#include "gateway/process/PassExchange.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <utility>
#include <vector>

namespace havenstair {

namespace {

constexpr int Unavailable = 503;

/// Heads of passed requests may be longer than callers' by this factor.
constexpr std::size_t HeadGrowth = 2;

} // namespace

PassExchange::PassExchange(EventLoop &Loop, Fleet &Others,
                           const ServingState &State, DecisionLog &Log,
                           Options Opts, Hooks Callbacks)
    : m_Fleet(Others), m_State(State), m_Log(Log), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)),
      m_Choice(std::make_shared<BoxChoice>(m_Opts.m_DataCentre)),
      m_Server(
          Loop, m_Opts.m_Server,
          [this](const HttpExchangePtr &Exchange) { onRequest(Exchange); },
          [this](const HttpExchangePtr &Exchange, TurnedAway) {
            decline(Exchange, "no_room");
          }) {
  setLimits(m_Opts.m_Server.m_Limits);
}

void PassExchange::setLimits(InboundConnection::Limits Limits) {
  Limits.m_MaxHeaders *= HeadGrowth;
  m_Server.setLimits(Limits);
}

std::optional<PassService::Target>
PassExchange::choose(const Requirements &Needed) {
  std::vector<BoxChoice::Candidate> Candidates;
  std::map<BoxName, Target> Targets;
  for (const Fleet::PassAddress &Each : m_Fleet.passAddresses()) {
    const RegionName &Region =
        m_State.m_DataCentres.regionOf(Each.m_DataCentre);
    if (!Needed.m_Regions.allows(Region) ||
        (Needed.m_KeepsVersions && Each.m_Protocol < StreamProtocol))
      continue;
    Candidates.push_back(
        {.m_Box = Each.m_Box, .m_DataCentre = Each.m_DataCentre});
    Targets[Each.m_Box] = {.m_Box = Each.m_Box,
                           .m_DataCentre = Each.m_DataCentre,
                           .m_Endpoint = Each.m_Endpoint};
  }
  const BoxChoice::Draws Random{.m_First = m_Hooks.m_Random(),
                                .m_Second = m_Hooks.m_Random()};
  auto Box =
      m_Choice->choose(Candidates, Needed.m_Tried, Random, EventLoop::now());
  if (!Box && Needed.m_AskDeclined)
    Box = m_Choice->chooseDeclined(Candidates, Needed.m_Tried);
  return Box ? std::optional(Targets.at(*Box)) : std::nullopt;
}

HttpHeaders PassExchange::fields(const std::string &Id) const {
  return passFields(
      {.m_Box = m_Fleet.self(), .m_Config = m_State.configVersion()}, Id,
      m_Opts.m_Secret);
}

std::shared_ptr<void> PassExchange::open(const Target &To) {
  m_Choice->onOpened(To.m_Box);
  return {nullptr, [Choice = m_Choice, Box = To.m_Box](void *) {
            Choice->onEnded(Box);
          }};
}

void PassExchange::onOutcome(const Target &To, std::string_view Outcome,
                             bool Declined) {
  if (Declined)
    m_Choice->onDeclined(To.m_Box, To.m_DataCentre, EventLoop::now());
  m_Hooks.m_Ended("out", Outcome);
}

/// \returns why a request of \p From is declined; empty if it is not.
std::string_view
PassExchange::reasonToDecline(const std::optional<PassedFrom> &From) const {
  if (!From)
    return "not_proved";
  if (!m_State.takesRequests(EventLoop::now()))
    return "stopping";
  if (!m_State.hasRequiredState() || m_State.configVersion() < From->m_Config)
    return "older_config";
  if (m_State.m_Reach.partitioned())
    return "partitioned";
  std::size_t Open = 0;
  for (const auto &[Box, Count] : *m_Taken)
    Open += Count;
  const auto OfOne = m_Taken->find(From->m_Box);
  const bool Full =
      Open >= m_Opts.m_MaxOpen ||
      (OfOne != m_Taken->end() && OfOne->second >= m_Opts.m_MaxOfOne);
  return Full ? "full" : "";
}

std::shared_ptr<void> PassExchange::take(const BoxName &From) {
  ++(*m_Taken)[From];
  return {m_Taken.get(), [Open = m_Taken, From](void *) {
            if (--(*Open)[From] == 0)
              Open->erase(From);
          }};
}

void PassExchange::onRequest(const HttpExchangePtr &Exchange) {
  const std::string Id = m_Hooks.m_ReadId(*Exchange);
  const auto From = readPassFields(*Exchange, Id, m_Opts.m_Secret);
  const std::string_view Reason = reasonToDecline(From);
  m_Log.write("taken", {{"request", Id},
                        {"from", From ? From->m_Box.str() : ""},
                        {"declined", Reason}});
  if (Reason.empty())
    return m_Hooks.m_Handle(Exchange, take(From->m_Box));
  decline(Exchange, Reason);
}

void PassExchange::decline(const HttpExchangePtr &Exchange,
                           std::string_view Reason) {
  m_Hooks.m_Ended("in", Reason);
  Exchange->reply(Unavailable, {verdictField(PassVerdict::Declined)}, "");
}

} // namespace havenstair
