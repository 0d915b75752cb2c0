/// \file
/// Buffers of libevent that hold shared bytes.
#ifndef HAVENSTAIR_WIRE_COMMON_EVENTBUFFER_H
#define HAVENSTAIR_WIRE_COMMON_EVENTBUFFER_H

#include "wire/common/SharedBytes.h"

struct evbuffer;

namespace havenstair {

/// Appends \p Bytes to \p To without a copy; \p To owns them until it has given
/// them all away.
void addReference(evbuffer *To, SharedBytes Bytes);

} // namespace havenstair

#endif
