#include "decisions/request/ErrorKind.h"

#include <array>
#include <utility>

namespace havenstair {

namespace {

constexpr RunState NotRun = RunState::NotRun;
constexpr RunState Unknown = RunState::Unknown;

/// The answers to the error kinds, in the order of the enumerators.
constexpr std::array<ErrorAnswer, ErrorKindCount> Answers{{
    {401, "missing_key", NotRun, false, "No key was given."},
    {401, "unknown_key", NotRun, false, "The key is not known."},
    {400, "bad_json", NotRun, false, "The body is not valid JSON."},
    {400, "bad_request", NotRun, false, "A field of the request is wrong."},
    {413, "body_too_large", NotRun, false, "The body is too large."},
    {405, "wrong_method", NotRun, false, "The method is not allowed here."},
    {404, "not_found", NotRun, false, "There is nothing at this path."},
    {404, "model_not_available", NotRun, false,
     "The model does not exist or is not available to this group."},
    {429, "rate_limited", NotRun, true, "The group's rate limit is used up."},
    {429, "concurrency_limited", NotRun, true,
     "The group has reached its limit of running requests."},
    {503, "overloaded", NotRun, true,
     "The wait would be longer than the deadline."},
    {504, "deadline_passed", NotRun, true,
     "The deadline passed before the request could run."},
    {503, "no_resident_copy", NotRun, true,
     "No copy of the model is resident yet."},
    {503, "no_upstream", NotRun, true, "No upstream can take the request."},
    {503, "no_allowed_region", NotRun, true,
     "The route and the organisation have no region in common."},
    {503, "no_allowed_upstream", NotRun, true,
     "No upstream is in a region that may serve the request."},
    {503, "owner_unavailable", NotRun, true,
     "The box that owns the upstream cannot be reached."},
    {502, "owner_lost", Unknown, false,
     "The box that admitted the request was lost."},
    {503, "key_owner_unavailable", NotRun, true,
     "The box that keeps this idempotency key cannot be reached."},
    {422, "key_reused", NotRun, false,
     "The idempotency key was used for a different request."},
    {409, "key_running", NotRun, true,
     "A request with this idempotency key is running."},
    {502, "outcome_unknown", Unknown, false,
     "The request may have run; it was not repeated."},
    {502, "upstream_failed", Unknown, false,
     "The upstream failed after it was given the request."},
    {502, "stream_cut", Unknown, false, "The answer was cut off."},
    {499, "caller_left", Unknown, false, "The caller left."},
    {503, "platform_unavailable", NotRun, true,
     "The platform's service did not answer."},
    {409, "edit_conflict", NotRun, false,
     "The row was changed by somebody else."},
    {422, "bad_cell", NotRun, false, "A cell of the row is wrong."},
    {401, "operator_token_needed", NotRun, false,
     "The operator's token is missing or wrong."},
    {503, "no_configuration", NotRun, true,
     "The box has no configuration yet."},
    {504, "route_timeout", Unknown, false,
     "The upstream did not answer within the time of the route."},
    {503, "stopping", NotRun, true, "The box is about to stop."},
    {400, "request_barred", NotRun, false,
     "Upstreams crashed each time they ran this request, so it is not run."},
    {502, "servers_ended", Unknown, false,
     "Upstreams crashed while running this request; it was not repeated."},
    {500, "internal", Unknown, false, "An error inside the box."},
    {503, "stream_unknown", NotRun, false,
     "It is not known which software version began the stream."},
    {503, "no_upstream_of_version", NotRun, true,
     "No upstream of the software version that began the stream is there."},
    {503, "request_suspected", NotRun, true,
     "Upstreams crashed while they ran this request, perhaps by chance; it is "
     "tried again apart from others first."},
}};

std::string describe(const Failure &Reason) {
  std::string Text(answerFor(Reason.m_Kind).m_Code);
  if (!Reason.m_Detail.empty())
    Text += ": " + Reason.m_Detail;
  return Text;
}

} // namespace

const ErrorAnswer &answerFor(ErrorKind Kind) {
  return Answers.at(static_cast<std::size_t>(Kind));
}

std::optional<ErrorKind> errorKindFromCode(std::string_view Code) {
  for (int Index = 0; Index < ErrorKindCount; ++Index) {
    const auto Kind = static_cast<ErrorKind>(Index);
    if (answerFor(Kind).m_Code == Code)
      return Kind;
  }
  return std::nullopt;
}

RequestError::RequestError(Failure Reason)
    : std::runtime_error(describe(Reason)), m_Failure(std::move(Reason)) {}

RequestError::RequestError(ErrorKind Kind, std::string Detail)
    : RequestError(Failure{.m_Kind = Kind, .m_Detail = std::move(Detail)}) {}

} // namespace havenstair
