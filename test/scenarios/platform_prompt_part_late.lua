-- Guards against a part of many different prompts that crashes endpoints after complete responses.
platform_fleet({ bad_parts = { ["0bad0001"] = "end_after_end 0 100" }, restart_ms = 2000 })
play(20000, { sound_prompts(),
  bad_prompts({ every_ms = 60, from_ms = 3000, parts = { [3] = "0bad0001" } }) })
expect_parts(count_parts("third part, after the end", { "0bad0001" }))
