/// Jobs that consist of many generations: submissions and results.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marjoramtally {

/// Identifies a job; chosen by its trainer.
using JobId = Strong<std::string, struct JobTag>;
/// Identifies an item within its job.
using ItemId = Strong<std::string, struct ItemTag>;
/// Identifies a group; items of a group share their prompt.
using GroupId = Strong<std::string, struct GroupTag>;

/// The request whose signed answer scores an item's text.
struct ScoreCall
{
  RequestId id_;
  std::string host_;
  std::string path_;
  std::string body_;
};

/// One item: a request for a generation.
struct JobItem
{
  ItemId id_;
  GroupId group_;
  std::string path_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  /// Prompt tokens plus the maximum number of output tokens.
  std::uint64_t tokens_ = 0;
  /// The caller's estimate of the output tokens; accurate at the median, but
  /// often far off for a single item.
  std::uint64_t lengthHint_ = 0;
  std::optional<ScoreCall> score_;
};

/// A job as submitted.
struct JobSpec
{
  std::uint64_t step_ = 0;
  std::string model_;
  /// Oldest weight version that may generate its texts.
  WeightVersion minVersion_;
  /// Number of complete groups that the trainer waits for.
  std::uint32_t targetGroups_ = 0;
  std::vector<JobItem> items_;
};

/// The result of one item as read by the trainer.
struct JobResult
{
  ItemId id_;
  /// False if the item was abandoned; it then has no text.
  bool completed_ = false;
  std::string text_;
  std::vector<WeightVersion> versions_;
  /// Signature of the answer that scored the text.
  std::string score_;
};

} // namespace marjoramtally
