/// \file
/// Bytes that several owners hold without copies of their own.
#ifndef HAVENSTAIR_WIRE_COMMON_SHAREDBYTES_H
#define HAVENSTAIR_WIRE_COMMON_SHAREDBYTES_H

#include "decisions/process/MemoryBudget.h"
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace havenstair {

/// Immutable bytes, freed with their last owner.
class SharedBytes {
public:
  SharedBytes() = default;
  SharedBytes(std::string Text)
      : m_Text(std::make_shared<const std::string>(std::move(Text))) {}
  SharedBytes(const char *Text) : SharedBytes(std::string(Text)) {}
  /// \p Held is given back together with the bytes.
  SharedBytes(std::string Text, MemoryCharge Held) {
    struct Charged {
      std::string m_Text;
      MemoryCharge m_Held;
    };
    const auto Both = std::make_shared<const Charged>(
        Charged{.m_Text = std::move(Text), .m_Held = std::move(Held)});
    m_Text = std::shared_ptr<const std::string>(Both, &Both->m_Text);
  }

  const std::string &str() const {
    static const std::string Empty;
    return m_Text ? *m_Text : Empty;
  }
  bool empty() const { return str().empty(); }
  std::size_t size() const { return str().size(); }

private:
  std::shared_ptr<const std::string> m_Text;
};

} // namespace havenstair

#endif
