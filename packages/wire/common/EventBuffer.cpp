#include "wire/common/EventBuffer.h"

#include <event2/buffer.h>
#include <memory>
#include <utility>

namespace havenstair {

void addReference(evbuffer *To, SharedBytes Bytes) {
  if (Bytes.empty())
    return;
  auto Held = std::make_unique<SharedBytes>(std::move(Bytes));
  const std::string &Text = Held->str();
  const int Failed = evbuffer_add_reference(
      To, Text.data(), Text.size(),
      [](const void *, std::size_t, void *Arg) {
        delete static_cast<SharedBytes *>(Arg);
      },
      Held.get());
  if (Failed == 0)
    static_cast<void>(Held.release());
}

} // namespace havenstair
