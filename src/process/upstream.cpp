#include "marjoramtally/process/upstream.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Older marks belong to incarnations that ended long ago.
constexpr std::size_t kMaxMarksPerUpstream = 4;

} // namespace

void
LeavingMarks::Mark(const UpstreamView& aUpstream)
{
  if (Marked(aUpstream)) {
    return;
  }
  auto& marks = marks_[aUpstream.id_];
  if (marks.size() >= kMaxMarksPerUpstream) {
    marks.erase(marks.begin());
  }
  marks.push_back({ aUpstream.address_, aUpstream.incarnation_ });
}

bool
LeavingMarks::Marked(const UpstreamView& aUpstream) const
{
  const auto found = marks_.find(aUpstream.id_);
  return found != marks_.end() &&
         std::any_of(found->second.begin(),
                     found->second.end(),
                     [&](const Incarnation& aMark) {
                       return aMark.address_ == aUpstream.address_ &&
                              aMark.incarnation_ >= aUpstream.incarnation_;
                     });
}

} // namespace marjoramtally
