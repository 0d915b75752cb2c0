/// \file
/// Compression of messages, by zlib.
#ifndef HAVENSTAIR_WIRE_COMMON_DEFLATE_H
#define HAVENSTAIR_WIRE_COMMON_DEFLATE_H

#include <cstddef>
#include <string>
#include <string_view>

namespace havenstair {

/// Compresses \p Bytes, for speed rather than size.
std::string deflateBytes(std::string_view Bytes);

/// The inverse of deflateBytes(). \throws DecodeError when \p Bytes are no
/// compressed form of \p Size bytes.
std::string inflateBytes(std::string_view Bytes, std::size_t Size);

} // namespace havenstair

#endif
