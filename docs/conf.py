"""Configuration of the documentation build."""

project = 'ragwortchute'
extensions = ['myst_parser']
source_suffix = {'.md': 'markdown'}
myst_heading_anchors = 3
exclude_patterns = ['_build']
html_theme = 'alabaster'
