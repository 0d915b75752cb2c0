/// \file
/// Error responses that the gateway generates itself.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_FAILUREREPLY_H
#define HAVENSTAIR_GATEWAY_REQUEST_FAILUREREPLY_H

#include "decisions/request/ErrorKind.h"
#include "wire/common/HttpServer.h"

namespace havenstair {

/// Replies to \p Exchange with the status and the JSON body that the table of
/// error kinds has for \p Reason. Adds to \p Headers the content type and, for
/// errors after which the caller should retry, `Retry-After` in seconds with
/// fractions.
void replyWithFailure(const HttpExchangePtr &Exchange, const Failure &Reason,
                      HttpHeaders Headers);

} // namespace havenstair

#endif
