/// \file
/// The one way from an error kind to an HTTP answer.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_ERRORREPLY_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_ERRORREPLY_H

#include "decisions/common/Id.h"
#include "decisions/request/ErrorKind.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"

namespace havenstair {

/// Body of an error, in the shape that clients of this API expect.
Json errorBody(const Failure &Reason, const RequestId &Id);

/// Answers \p Exchange with the failure, at once.
void replyError(const HttpExchangePtr &Exchange, const Failure &Reason,
                const RequestId &Id);

} // namespace havenstair

#endif
