/// \file
/// Header fields between two boxes of which one passes requests on to the
/// other.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_PASSFIELDS_H
#define HAVENSTAIR_GATEWAY_REQUEST_PASSFIELDS_H

#include "decisions/common/Id.h"
#include "decisions/common/SoftwareVersion.h"
#include "decisions/request/ErrorKind.h"
#include "decisions/version/ServingConfig.h"
#include "wire/common/HttpServer.h"
#include <optional>
#include <string>

namespace havenstair {

/// What the asking box says of a request.
struct PassedFrom {
  BoxName m_Box;              ///< Name of the asking process.
  ConfigVersion m_Config = 0; ///< Version that it decided by.

  bool operator==(const PassedFrom &) const = default;
};

/// What the answer of the asked box says of a request that it did not run.
enum class PassVerdict {
  None,     ///< The request ran or may have run; the answer tells.
  Declined, ///< This box cannot take it; it was sent to no upstream.
  Rejected, ///< An upstream was sent it and did not run it.
  Refused   ///< The answer is for the caller.
};

/// \returns the fields that state \p From for the request \p Id, proved by
/// \p Secret.
HttpHeaders passFields(const PassedFrom &From, const std::string &Id,
                       const std::string &Secret);
/// \returns who passed the request \p Id on; empty if the fields are missing or
/// not proved by \p Secret.
std::optional<PassedFrom> readPassFields(const HttpExchange &Exchange,
                                         const std::string &Id,
                                         const std::string &Secret);
/// \returns \p Headers without the fields of this file.
HttpHeaders withoutPassFields(HttpHeaders Headers);
/// \returns the field that states the software version that a stream is bound
/// to, in a request, or that runs it, in an answer.
HttpHeader softwareField(const SoftwareVersion &Software);
/// \returns the software version that \p Headers state; empty if they do not.
SoftwareVersion readSoftware(const HttpHeaders &Headers);
/// \returns what the box that passed a request on is told of a refusal. \p
/// WasSent says that an upstream was sent the request and did not run it.
PassVerdict verdictFor(ErrorKind Kind, bool WasSent);
/// \returns the field that states \p Verdict.
HttpHeader verdictField(PassVerdict Verdict);
/// \returns the verdict that \p Headers of an answer state.
PassVerdict readVerdict(const HttpHeaders &Headers);

} // namespace havenstair

#endif
