"""Hooks of behave: prepare each scenario, and stop what it has started."""

import asyncio


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.system = None
    context.processes = []


def after_scenario(context, scenario):
    if context.system is not None:
        context.loop.run_until_complete(context.system.stop())
    context.loop.close()
    for process in context.processes:
        process.kill()
        process.wait()
        process.stdout.close()
