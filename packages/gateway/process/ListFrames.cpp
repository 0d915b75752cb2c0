#include "gateway/process/ListFrames.h"

namespace havenstair {

FleetKeysFrame keysFrame(const WatchCache &Cache,
                         const WatchCache::Delta &Changes) {
  FleetKeysFrame Frame{.m_Prefix = Cache.prefix(),
                       .m_Since = Changes.m_Since,
                       .m_Revision = Changes.m_Revision,
                       .m_Part = Changes.m_Part,
                       .m_Items = {},
                       .m_Gone = Changes.m_Gone};
  for (const StoreItem &Item : Changes.m_Items)
    Frame.m_Items.push_back({.m_Key = Item.m_Key,
                             .m_Value = Item.m_Value,
                             .m_Revision = Item.m_Revision});
  return Frame;
}

WatchCache::Delta deltaIn(const FleetKeysFrame &Frame) {
  WatchCache::Delta Changes{.m_Since = Frame.m_Since,
                            .m_Revision = Frame.m_Revision,
                            .m_Part = Frame.m_Part,
                            .m_Items = {},
                            .m_Gone = Frame.m_Gone};
  for (const StoredValue &Each : Frame.m_Items)
    Changes.m_Items.push_back({.m_Key = Each.m_Key,
                               .m_Value = Each.m_Value,
                               .m_Revision = Each.m_Revision});
  return Changes;
}

} // namespace havenstair
