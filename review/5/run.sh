#!/bin/bash
cd "$(dirname "$0")" && exec timeout 118 python3 case.py
