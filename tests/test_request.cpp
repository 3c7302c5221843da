#include "marjoramtally/connection.hpp"
#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

TEST_CASE("a non-idempotent request is not retried once it may have run")
{
  RequestSpec spec;
  spec.idempotent_ = false;
  Attempts attempts(4);
  CHECK(attempts.RecordEnd(spec, AttemptEnd::NotRun, {}) == NextStep::Retry);
  CHECK(attempts.RecordEnd(spec, AttemptEnd::MaybeRun, {}) ==
        NextStep::FinishUnknown);
}

TEST_CASE("a request is refused only if no attempt may have run")
{
  RequestSpec spec;
  Attempts attempts(2);
  CHECK(attempts.RecordEnd(spec, AttemptEnd::MaybeRun, {}) == NextStep::Retry);
  CHECK(attempts.RecordEnd(spec, AttemptEnd::NotRun, {}) ==
        NextStep::FinishUnknown);
}

TEST_CASE("version spans must cover all tokens without gaps")
{
  const WeightVersion one{ 1 };
  const WeightVersion two{ 2 };
  CHECK(SpansCover({ { one, 0, 4 }, { two, 4, 9 } }, 9));
  CHECK_FALSE(SpansCover({ { one, 0, 4 }, { two, 5, 9 } }, 9));
  CHECK_FALSE(SpansCover({}, 0));
  CHECK(OldestVersion({ { two, 0, 4 }, { one, 4, 9 } }) == one);
}

TEST_CASE("trainer messages are decoded and invalid bytes are rejected")
{
  TrainerRequest request;
  request.trainer_ = TrainerId{ "t" };
  TakeSamples take;
  take.spec_.held_ = *IndexSet::Parse("0-5");
  request.operation_ = take;
  const std::string bytes = Encode(request);
  const auto back = DecodeTrainerRequest(bytes);
  REQUIRE(back);
  CHECK(back.value().trainer_ == request.trainer_);
  const auto& operation = std::get<TakeSamples>(back.value().operation_);
  CHECK(operation.spec_.held_ == take.spec_.held_);
  CHECK_FALSE(DecodeTrainerRequest(bytes.substr(0, 8)));
  CHECK_FALSE(DecodeTrainerRequest("short"));
}
