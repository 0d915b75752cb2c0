/// \file
/// Runs a fuzz target on the files of a corpus, for CI, without the fuzzer.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size);

int main(int Count, char **Values) {
  if (Count != 2)
    return 2;
  int Replayed = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Values[1])) {
    std::ifstream File(Entry.path(), std::ios::binary);
    const std::vector<char> Bytes{std::istreambuf_iterator<char>(File), {}};
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(Bytes.data()),
                           Bytes.size());
    ++Replayed;
  }
  std::printf("%d inputs replayed\n", Replayed);
  return Replayed == 0 ? 1 : 0;
}
