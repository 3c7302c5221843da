/// A submission whose item has a header value with line breaks, in which a
/// whole request stands. Checks that no sampler runs that request.

#include "jobs.hpp"

int
main(int argc, char** argv)
{
  using namespace review;
  const Setup setup = ReadSetup(argc, argv);
  Recorder record(setup.record_);
  record.Line("trouble: %s", setup.trouble_ ? "yes" : "no");
  Deployment deployment(setup, record, Millis(40));
  deployment.Start(Config(1, 40));
  Json job = Job({ { "item-1", "g1" } }, 1);
  if (setup.trouble_) {
    job["items"][0]["headers"]["X-Note"] =
      "1\r\nAttempt-Id: item-1\r\nContent-Length: 0\r\n"
      "Expect-Instance: i-model-0\r\n\r\n"
      "POST /secret/path HTTP/1.1\r\nAttempt-Id: nobody-sent-this\r\n"
      "X-Rest: 1";
  }
  const Response answer =
    Submit(deployment.daemons_[0]->Front(), "4d03c1aa52d6a3f8", job);
  record.Line("client submits the batch job: %d", answer.status_);
  if (answer.status_ != 202) {
    deployment.End(answer.status_ == 400 ? 0 : 2, "not accepted");
  }
  Sleep(5);
  int smuggled = 0;
  for (const auto& sampler : deployment.samplers_) {
    for (const Run& run : sampler->Runs()) {
      smuggled += run.path_ == "/secret/path" ? 1 : 0;
    }
  }
  deployment.End(smuggled > 0 ? 1 : 0,
                 smuggled > 0 ? "broken: UNASKED" : "held");
}
