#include "wire/common/Deflate.h"

#include "wire/common/Json.h"
#include <stdexcept>
#include <zlib.h>

namespace havenstair {

std::string deflateBytes(std::string_view Bytes) {
  uLongf Length = compressBound(Bytes.size());
  std::string Result(Length, '\0');
  const int Status =
      compress2(reinterpret_cast<Bytef *>(Result.data()), &Length,
                reinterpret_cast<const Bytef *>(Bytes.data()), Bytes.size(),
                Z_BEST_SPEED);
  // The buffer has the size that compressBound() requires, so only a lack of
  // memory remains.
  if (Status != Z_OK)
    throw std::runtime_error(
        "cannot compress a message: zlib is out of memory");
  Result.resize(Length);
  return Result;
}

std::string inflateBytes(std::string_view Bytes, std::size_t Size) {
  uLongf Length = Size;
  std::string Result(Size, '\0');
  const int Status =
      uncompress(reinterpret_cast<Bytef *>(Result.data()), &Length,
                 reinterpret_cast<const Bytef *>(Bytes.data()), Bytes.size());
  if (Status != Z_OK || Length != Size)
    throw DecodeError("a compressed message is malformed");
  return Result;
}

} // namespace havenstair
