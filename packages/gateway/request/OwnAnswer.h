/// \file
/// Answers that the gateway gives itself.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_OWNANSWER_H
#define HAVENSTAIR_GATEWAY_REQUEST_OWNANSWER_H

#include "decisions/request/ErrorKind.h"
#include "wire/common/HttpServer.h"

namespace havenstair {

/// Answers \p Exchange with \p Reason from the table of error kinds, with
/// \p Headers and the time to stay away in seconds with fractions.
void answerFailure(const HttpExchangePtr &Exchange, const Failure &Reason,
                   HttpHeaders Headers);

} // namespace havenstair

#endif
