/// \file
/// HTTP answers for errors.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_ERRORREPLY_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_ERRORREPLY_H

#include "decisions/common/Id.h"
#include "decisions/request/ErrorKind.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"

namespace havenstair {

/// Returns the body of an error, in the form that clients of this API expect.
Json errorBody(const Failure &Reason, const RequestId &Id);

/// Answers \p Exchange with the failure.
void replyError(const HttpExchangePtr &Exchange, const Failure &Reason,
                const RequestId &Id);

} // namespace havenstair

#endif
