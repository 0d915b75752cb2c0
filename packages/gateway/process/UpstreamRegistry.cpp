#include "gateway/process/UpstreamRegistry.h"

#include "gateway/common/DecisionLog.h"

namespace havenstair {

UpstreamRegistry::Decoded UpstreamRegistry::decode(const StoreItem &Item) {
  Decoded Result{.m_Revision = Item.m_Revision, .m_Instance = {}};
  try {
    Result.m_Instance = m_Decode(Item.m_Key, Item.m_Value);
    Result.m_Good = true;
  } catch (const DecodeError &Error) {
    m_Log.write("bad_upstream", {{"key", Item.m_Key}, {"why", Error.what()}});
  }
  return Result;
}

InstanceList
UpstreamRegistry::read(const std::map<std::string, StoreItem> &Items,
                       StoreRevision Revision) {
  std::map<std::string, Decoded> Next;
  InstanceList List{.m_Revision = Revision, .m_Instances = {}};
  for (const auto &[Key, Item] : Items) {
    const auto Before = m_Known.find(Key);
    const bool Same =
        Before != m_Known.end() && Before->second.m_Revision == Item.m_Revision;
    Decoded Entry = Same ? std::move(Before->second) : decode(Item);
    if (Entry.m_Good)
      List.m_Instances.emplace(Entry.m_Instance.m_Id, Entry.m_Instance);
    Next.emplace(Key, std::move(Entry));
  }
  m_Known = std::move(Next);
  return List;
}

} // namespace havenstair
